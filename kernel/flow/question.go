package flow

import (
	"encoding/binary"

	"github.com/coltsfootline/coltsfootline/kernel/gue"
)

// A question asks an agent which of some flows its target holds. Its data is a number that identifies the question,
// followed by the flows. The data of the agent's answer is the number, followed by one byte for each flow. A question
// costs 12 bytes for each flow, where a copy of the caller's packet costs up to 1,200.
const (
	questionNumberLength = 4
	flowLength           = 12
	// maxQuestionFlows is the number of flows that fit into one packet.
	maxQuestionFlows = 96
)

// answer is a host's answer to the question whether it holds a flow.
type answer uint8

// The values of answerDenied, answerUnsure and answerHeld are sent to other instances.
const (
	answerNone answer = iota
	// answerDenied is the answer of a host that does not hold the flow and knows the same hosts as the entry.
	answerDenied
	// answerUnsure is the answer of an agent that can tell only after its target has received a packet of the flow.
	answerUnsure
	// answerHeld is the answer of a host that holds the flow.
	answerHeld
	// answerMaybe is the answer of a host that can neither confirm nor deny that it holds a flow of which its target
	// has received a packet.
	answerMaybe
	// answerElsewhere is the answer of a host that does not hold the flow and knows other hosts than the entry, which may
	// hold it. It is asked again.
	answerElsewhere
	// answerPending is the state of a host that was unsure and was sent a packet of the flow.
	answerPending
)

// appendFlow appends the encoding of a flow.
func appendFlow(b []byte, f gue.Flow) []byte {
	b = append(b, f.Caller.Address[:]...)
	b = binary.BigEndian.AppendUint16(b, f.Caller.Port)
	b = append(b, f.Service.Address[:]...)
	return binary.BigEndian.AppendUint16(b, f.Service.Port)
}

// decodeFlow decodes the flow at the start of b, which must hold flowLength bytes.
func decodeFlow(b []byte) gue.Flow {
	var f gue.Flow
	copy(f.Caller.Address[:], b)
	f.Caller.Port = binary.BigEndian.Uint16(b[4:])
	copy(f.Service.Address[:], b[6:])
	f.Service.Port = binary.BigEndian.Uint16(b[10:])
	return f
}

// appendQuestion appends the data of a question.
func appendQuestion(b []byte, number uint32, flows []gue.Flow) []byte {
	b = binary.BigEndian.AppendUint32(b, number)
	for _, f := range flows {
		b = appendFlow(b, f)
	}
	return b
}

// appendAnswers appends the data of the answer to the question with the given data. It calls answerFor for each flow. It
// returns false if the question is malformed.
func appendAnswers(b, question []byte, answerFor func(f gue.Flow) answer) ([]byte, bool) {
	if len(question) < questionNumberLength || (len(question)-questionNumberLength)%flowLength != 0 {
		return b, false
	}
	b = append(b, question[:questionNumberLength]...)
	for rest := question[questionNumberLength:]; len(rest) > 0; rest = rest[flowLength:] {
		b = append(b, byte(answerFor(decodeFlow(rest))))
	}
	return b, true
}

// decodeAnswers returns the number of the question and its answers, which alias b. It returns false if b is malformed.
func decodeAnswers(b []byte) (number uint32, answers []byte, ok bool) {
	if len(b) < questionNumberLength {
		return 0, nil, false
	}
	return binary.BigEndian.Uint32(b), b[questionNumberLength:], true
}
