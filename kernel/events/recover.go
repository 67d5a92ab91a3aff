package events

import (
	"fmt"
	"log/slog"
	"runtime/debug"
)

// maxStackBytes limits the stack in the record of a panic.
const maxStackBytes = 2048

// RecoverInput stops a panic and logs it. Defer it around the handling of one input of the given kind.
func RecoverInput(l *slog.Logger, kind string) {
	if cause := recover(); cause != nil {
		stack := debug.Stack()
		InputPanicked.Log(l, slog.String("kind", kind), slog.String("error", fmt.Sprint(cause)),
			slog.String("stack", string(stack[:min(len(stack), maxStackBytes)])))
	}
}
