// Package scenario runs experiments on a cluster and checks the outcomes that callers and targets recorded.
package scenario

// Result is the JSON object that the measure command prints.
type Result struct {
	Scenario          string `json:"scenario"`
	Seed              uint64 `json:"seed"`
	Policy            string `json:"policy"`
	Size              string `json:"size"`
	Connections       int    `json:"connections"`
	OpenAtEnd         int    `json:"openAtEnd"`
	BrokenConnections int    `json:"brokenConnections"`
	Requests          int    `json:"requests"`
	Answered          int    `json:"answered"`
	NotRun            int    `json:"notRun"`
	Unknown           int    `json:"unknown"`
	// WrongService counts the requests that ran on a target of another service than the caller wanted.
	WrongService int `json:"wrongService"`
	// CrossedAnswers counts the answers that do not match their request.
	CrossedAnswers int `json:"crossedAnswers"`
	CutAnswers     int `json:"cutAnswers"`
	// NotRunButRan counts the requests that ran although the caller was told that they did not.
	NotRunButRan int `json:"notRunButRan"`
	// RanTwice counts the non-idempotent requests that started more than once.
	RanTwice int `json:"ranTwice"`
	// SlotsExceeded counts the requests that started while their target ran more requests than it has slots.
	SlotsExceeded int `json:"slotsExceeded"`
	// Moved counts the connections that agents moved on request.
	Moved *int `json:"moved,omitempty"`
	// LateWorkOnRetiring counts the requests that started on a retiring target after the grace time.
	LateWorkOnRetiring *int `json:"lateWorkOnRetiring,omitempty"`
	// CutByDrain is CutAnswers plus Unknown in a scenario that retires agents.
	CutByDrain *int `json:"cutByDrain,omitempty"`
	// SlowestEndMs is the longest time that a caller with a request in flight waited until it learned that its
	// connection had ended.
	SlowestEndMs float64 `json:"slowestEndMs"`
	DialFailed   int     `json:"dialFailed"`
	// Imbalance is the busy time of the busiest host of a service divided by the mean over its hosts, for the worst
	// service; it is 0 if any agent retired.
	Imbalance  float64  `json:"imbalance"`
	ShortP50Ms float64  `json:"shortP50Ms"`
	ShortP99Ms float64  `json:"shortP99Ms"`
	LongP99Ms  *float64 `json:"longP99Ms,omitempty"`
	// IdealShortP99Ms is the p99 that short requests would have had with a single queue for all slots of each service;
	// see idealP99.
	IdealShortP99Ms float64 `json:"idealShortP99Ms"`
	// SurgeP99Ms is the p99 of short requests sent during a surge; IdealSurgeP99Ms is the same with the single queue of
	// IdealShortP99Ms.
	SurgeP99Ms      *float64 `json:"crestP99Ms,omitempty"`
	IdealSurgeP99Ms *float64 `json:"idealCrestP99Ms,omitempty"`
	// SurgeGoodput is the answered work divided by the available slot time during the highest surge.
	SurgeGoodput *float64 `json:"crestGoodput,omitempty"`
	// ShortP99WithoutMs and ShortP99WithMs are the p99 of short requests before and after stragglers start.
	ShortP99WithoutMs *float64 `json:"shortP99WithoutMs,omitempty"`
	ShortP99WithMs    *float64 `json:"shortP99WithMs,omitempty"`
	// ControlBytesPerSecond is the highest rate of control messages of any process, read and written together.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	// FailedChecks holds the names of the checks that the run failed.
	FailedChecks []string `json:"brokenPromises"`
}
