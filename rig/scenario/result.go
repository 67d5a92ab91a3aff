// Package scenario runs experiments on a cluster and judges what came of them.
package scenario

// Result is the JSON object that a measurement prints.
type Result struct {
	Scenario           string `json:"scenario"`
	Seed               uint64 `json:"seed"`
	Policy             string `json:"policy"`
	Size               string `json:"size"`
	Connections        int    `json:"connections"`
	OpenAtEnd          int    `json:"openAtEnd"`
	BrokenConnections  int    `json:"brokenConnections"`
	Requests           int    `json:"requests"`
	Answered           int    `json:"answered"`
	NotRun             int    `json:"notRun"`
	Unknown            int    `json:"unknown"`
	WrongService       int    `json:"wrongService"`
	CrossedAnswers     int    `json:"crossedAnswers"`
	CutAnswers         int    `json:"cutAnswers"`
	NotRunButRan       int    `json:"notRunButRan"`
	RanTwice           int    `json:"ranTwice"`
	SlotsExceeded      int    `json:"slotsExceeded"`
	Moved              *int   `json:"moved,omitempty"`
	LateWorkOnRetiring *int   `json:"lateWorkOnRetiring,omitempty"`
	CutByDrain         *int   `json:"cutByDrain,omitempty"`
	// SlowestEndMs is the longest that a caller waited before it learned that its connection had ended.
	SlowestEndMs float64  `json:"slowestEndMs"`
	DialFailed   int      `json:"dialFailed"`
	Imbalance    float64  `json:"imbalance"`
	ShortP50Ms   float64  `json:"shortP50Ms"`
	ShortP99Ms   float64  `json:"shortP99Ms"`
	LongP99Ms    *float64 `json:"longP99Ms,omitempty"`
	// IdealShortP99Ms is what one queue over all slots of each service would have given the short requests.
	IdealShortP99Ms float64 `json:"idealShortP99Ms"`
	// CrestP99Ms is the p99 of short requests sent during a surge; IdealCrestP99Ms is the ideal's.
	CrestP99Ms      *float64 `json:"crestP99Ms,omitempty"`
	IdealCrestP99Ms *float64 `json:"idealCrestP99Ms,omitempty"`
	// CrestGoodput is the answered work over the slot time of the highest surge.
	CrestGoodput *float64 `json:"crestGoodput,omitempty"`
	// ShortP99WithoutMs and ShortP99WithMs are the p99 of short requests before and after stragglers began.
	ShortP99WithoutMs *float64 `json:"shortP99WithoutMs,omitempty"`
	ShortP99WithMs    *float64 `json:"shortP99WithMs,omitempty"`
	// ControlBytesPerSecond is the greatest of any process, read and written together.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	// BrokenPromises says which bounds of the scenario were passed.
	BrokenPromises []string `json:"brokenPromises"`
}
