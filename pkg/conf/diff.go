package conf

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Diff describes what leads from one section to another, one change a line,
// by service and server names.
func Diff(from, to Section) []string {
	var out []string
	old := map[string]Service{}
	for _, s := range from.Services {
		old[s.Name] = s
	}
	for _, s := range to.Services {
		was, ok := old[s.Name]
		delete(old, s.Name)
		if !ok {
			out = append(out, fmt.Sprintf("+ service %s at %s with %d servers", s.Name, s.Address, len(s.Servers)))
			continue
		}
		out = append(out, diffServers(s.Name, was.Servers, s.Servers)...)
		was.Servers, s.Servers = nil, nil
		out = append(out, diffFields("service "+s.Name, was, s)...)
	}
	for name := range old {
		out = append(out, "- service "+name)
	}
	slices.Sort(out)
	return out
}

func diffServers(service string, from, to []Server) []string {
	var out []string
	old := map[string]Server{}
	for _, v := range from {
		old[v.Name] = v
	}
	for _, v := range to {
		was, ok := old[v.Name]
		delete(old, v.Name)
		if !ok {
			out = append(out, fmt.Sprintf("+ server %s/%s at %s, %s", service, v.Name, v.Address, v.State))
			continue
		}
		out = append(out, diffFields("server "+service+"/"+v.Name, was, v)...)
	}
	for name := range old {
		out = append(out, "- server "+service+"/"+name)
	}
	return out
}

// diffFields compares two values by their JSON fields.
func diffFields(what string, from, to any) []string {
	var out []string
	a, b := fields(from), fields(to)
	for name := range b {
		if _, ok := a[name]; !ok {
			a[name] = nil
		}
	}
	for name, was := range a {
		if string(was) != string(b[name]) {
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", what, name, orNone(was), orNone(b[name])))
		}
	}
	return out
}

func orNone(v json.RawMessage) string {
	if len(v) == 0 {
		return "none"
	}
	return string(v)
}

func fields(v any) map[string]json.RawMessage {
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
