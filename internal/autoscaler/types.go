package autoscaler

import (
	"encoding/json"
	"time"

	"lugward/internal/event"
	"lugward/internal/scheduler"
	"lugward/internal/store"
)

type wireType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	Memory    float64  `json:"ram_gb"`
	Fetch     float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	Ready     float64  `json:"ready_s"`
	Zones     []string `json:"yards"`
}

type wireTypes struct {
	MachineTypes []wireType `json:"flavors"`
}

func (r *Autoscaler) takeTypes(data []byte) bool {
	var v wireTypes
	if json.Unmarshal(data, &v) != nil || len(v.MachineTypes) == 0 {
		return false
	}
	for _, t := range v.MachineTypes {
		if t.Name == "" || !(t.CPUs >= 0) || !(t.Price >= 0) {
			return false
		}
	}
	for _, t := range v.MachineTypes {
		f := &scheduler.MachineType{Index: r.names.MachineTypes.Index(t.Name), CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.Memory, Price: t.Price,
			SpotPrice: t.SpotPrice, BootTime: t.Ready, FetchRate: t.Fetch}
		for _, y := range t.Zones {
			f.Zones = append(f.Zones, r.names.Zones.Index(y))
		}
		for len(r.MachineTypes) <= f.Index {
			r.MachineTypes = append(r.MachineTypes, nil)
		}
		r.MachineTypes[f.Index] = f
	}
	r.jobs.Changed = true
	return true
}

// Types refreshes the machine types; any node may, until they are known.
func (r *Autoscaler) Types(now event.Time, term *store.Condition, out *event.Effects) {
	if now-r.typesAt < typesInterval && (len(r.MachineTypes) > 0 || now-r.typesAt < errorPause) || !r.allowed(now) {
		return
	}
	r.typesAt = now
	r.call("GET", "/machine_types", nil, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		if status != 200 || !r.takeTypes(body) {
			r.typesAt = now - typesInterval + errorPause
			return
		}
		if term == nil || len(r.rawType) > 0 {
			return
		}
		var v wireTypes
		_ = json.Unmarshal(body, &v)
		raw, err := json.Marshal(v)
		if err != nil || len(raw) > r.cfg.ValueBytes {
			return // each controller still learns them from the cloud
		}
		r.store.Submit(&store.Intent{Priority: store.Accept, Conditions: []store.Condition{*term},
			Writes: []store.Write{{Key: TypesKey, Data: raw}},
			Done: func(res store.Result) {
				if res.Outcome == store.OK || res.Invalid {
					r.rawType = raw // refused as malformed: it would be again
				}
			}}, now+time.Minute)
	})
}
