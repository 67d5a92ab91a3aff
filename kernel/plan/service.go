package plan

import "time"

// Service describes a service of the plan.
type Service struct {
	Name string `json:"name"`
	// Warmup is how long a host of the service is cold after it starts.
	Warmup time.Duration `json:"warmup,omitempty"`
	// WarmupRate is the number of requests per second that a cold host can process; 0 means no limit.
	WarmupRate float64 `json:"warmupRate,omitempty"`
}

// FindService returns the service with the name, or nil if the plan does not describe it. It is called once per plan.
func (p *Plan) FindService(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}
