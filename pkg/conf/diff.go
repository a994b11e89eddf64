package conf

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Diff returns the changes that turn section from into section to, one per
// line and sorted. Services and servers are matched by name.
func Diff(from, to Section) []string {
	var out []string
	old := map[string]Service{}
	for _, s := range from.Services {
		old[s.Name] = s
	}
	for _, s := range to.Services {
		oldService, ok := old[s.Name]
		delete(old, s.Name)
		if !ok {
			out = append(out, fmt.Sprintf("+ service %s at %s with %d servers", s.Name, s.Address, len(s.Servers)))
			continue
		}
		out = append(out, diffServers(s.Name, oldService.Servers, s.Servers)...)
		oldService.Servers, s.Servers = nil, nil
		out = append(out, diffFields("service "+s.Name, oldService, s)...)
	}
	for name := range old {
		out = append(out, "- service "+name)
	}
	slices.Sort(out)
	return out
}

// diffServers returns the changes between two server lists of a service.
func diffServers(service string, from, to []Server) []string {
	var out []string
	old := map[string]Server{}
	for _, v := range from {
		old[v.Name] = v
	}
	for _, v := range to {
		oldServer, ok := old[v.Name]
		delete(old, v.Name)
		if !ok {
			out = append(out, fmt.Sprintf("+ server %s/%s at %s, %s", service, v.Name, v.Address, v.State))
			continue
		}
		out = append(out, diffFields("server "+service+"/"+v.Name, oldServer, v)...)
	}
	for name := range old {
		out = append(out, "- server "+service+"/"+name)
	}
	return out
}

// diffFields returns the JSON fields in which two values differ, each with its
// old and new value.
func diffFields(subject string, from, to any) []string {
	var out []string
	a, b := jsonFields(from), jsonFields(to)
	for name := range b {
		if _, ok := a[name]; !ok {
			a[name] = nil
		}
	}
	for name, oldValue := range a {
		if string(oldValue) != string(b[name]) {
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", subject, name, valueOrNone(oldValue), valueOrNone(b[name])))
		}
	}
	return out
}

func valueOrNone(v json.RawMessage) string {
	if len(v) == 0 {
		return "none"
	}
	return string(v)
}

// jsonFields returns the encoded fields of v by their JSON names.
func jsonFields(v any) map[string]json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic("conf: a value must be encodable: " + err.Error())
	}
	out := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &out); err != nil {
		panic("conf: a value must be an object: " + err.Error())
	}
	return out
}
