package events

import "log/slog"

// The events of every program; docs/EVENTS.md lists them.
var (
	Started          = define(100, "started", slog.LevelInfo, "process started")
	Stopping         = define(101, "stopping", slog.LevelInfo, "graceful stop began")
	Stopped          = define(102, "stopped", slog.LevelInfo, "process stopped")
	StopForced       = define(103, "stopForced", slog.LevelWarn, "second signal, stopping at once")
	AdminFailed      = define(104, "adminFailed", slog.LevelError, "administration page ended")
	PeerListenFailed = define(110, "peerListenFailed", slog.LevelError, "control listener ended")
	FactRefused      = define(111, "factRefused", slog.LevelWarn, "fact with a body that can't be read was refused")
	MemberSilent     = define(113, "memberSilent", slog.LevelWarn, "member went silent and is marked down")
	SelfRefuted      = define(114, "selfRefuted", slog.LevelWarn, "other instances marked this one down; it answered with a greater version")
	StoreUnavailable = define(200, "storeUnavailable", slog.LevelWarn, "store call failed; the last accepted state stays in force")
	StoreDocument    = define(201, "storeDocument", slog.LevelInfo, "document read from the store")
	PacketReadFailed = define(300, "packetReadFailed", slog.LevelError, "reading packets failed")
	StackRefused     = define(400, "stackRefused", slog.LevelError, "TCP stack refused its settings")
	ServiceKnown     = define(401, "serviceKnown", slog.LevelInfo, "service of this agent is known, its address is answered")
	DrainStarted     = define(410, "drainStarted", slog.LevelInfo, "drain began")
	DrainEnded       = define(411, "drainEnded", slog.LevelInfo, "drain ended")
	MoveFailed       = define(421, "moveFailed", slog.LevelWarn, "offer of a flow failed, it stays here")
	MoveAbandoned    = define(422, "moveAbandoned", slog.LevelWarn, "prepared flow was given up, its grant never came")
	LocateFailed     = define(430, "locateFailed", slog.LevelWarn, "a peer did not answer which flows it holds")
	TargetFailed     = define(440, "targetFailed", slog.LevelWarn, "target did not answer a request")
	HandOverFailed   = define(450, "handOverFailed", slog.LevelWarn, "a request handed to another agent got no answer")
)
