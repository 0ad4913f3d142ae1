package registry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fastjson"

	"example.org/madderdrum/control/catalog"
	"example.org/madderdrum/control/configuration"
	"example.org/madderdrum/control/controlstate"
	"example.org/madderdrum/internal/configstore"
	"example.org/madderdrum/internal/httpapi"
)

// The paths of the outside calls. They are described in api/control.yaml.
const (
	pathReplace    = "/config/replace"
	pathUpdate     = "/config/update"
	pathFetch      = "/config/fetch"
	pathInstances  = "/instances/"
	pathEvacuation = "/evacuation/"
)

// problem is an answer that tells what was wrong and what to do.
func problem(status int, code, text string) httpapi.Answer {
	body, err := json.Marshal(map[string]string{"code": code, "error": text})
	if err != nil {
		body = nil
	}
	a := httpapi.Answer{Status: status, Body: body}
	if status == 503 {
		a.Header = map[string]string{"Retry-After": "0.2"}
	}
	return a
}

// isEvacuation tells that a call begins or finishes an evacuation: it carries no identity, so that one
// that was held up on its way can't be told from a new one but by its caller having gone.
func isEvacuation(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, pathEvacuation) }

// outside answers servers and operators.
func (h *Registry) outside(ctx context.Context, r *http.Request, body []byte) httpapi.Answer {
	path := r.URL.Path
	switch {
	case strings.HasPrefix(path, pathInstances):
		if r.Method != http.MethodPost {
			return problem(405, "method", "send it with POST")
		}
		id, what, _ := strings.Cut(path[len(pathInstances):], "/")
		switch {
		case id == "" || len(id) > 200:
			return problem(400, "unreadable", "the path names no instance")
		case what == "heartbeat":
			return h.heartbeat(ctx, id, body)
		case what == "deregister":
			return h.deregister(ctx, id)
		}
	case path == pathReplace && r.Method == http.MethodPost:
		return h.change(ctx, controlstate.Order{Kind: controlstate.ReplaceConfig, Body: body})
	case path == pathUpdate && r.Method == http.MethodPost:
		return h.change(ctx, controlstate.Order{Kind: controlstate.UpdateConfig, Body: body})
	case path == pathFetch && r.Method == http.MethodGet:
		return h.fetch(ctx)
	case strings.HasPrefix(path, pathEvacuation) && r.Method == http.MethodPost:
		zone, what, _ := strings.Cut(path[len(pathEvacuation):], "/")
		if _, known := h.set.Zones[zone]; !known {
			return problem(404, "unknown_zone", "no zone "+zone+" is in the settings")
		}
		switch what {
		case "begin":
			return h.change(ctx, controlstate.Order{Kind: controlstate.BeginEvacuation, Zone: zone, SeenSeq: h.seen()})
		case "finish":
			return h.change(ctx, controlstate.Order{Kind: controlstate.FinishEvacuation, Zone: zone, SeenSeq: h.seen()})
		}
	}
	if path == pathReplace || path == pathUpdate || path == pathFetch || strings.HasPrefix(path, pathEvacuation) {
		return problem(405, "method", "no call "+r.Method+" "+path+": see api/control.yaml for its method and path")
	}
	return problem(404, "unknown_call", "no call "+r.Method+" "+path)
}

// heartbeat takes in a server's word of itself.
func (h *Registry) heartbeat(ctx context.Context, id string, body []byte) httpapi.Answer {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return problem(400, "unreadable", "the body is not JSON: send the fields of a heartbeat")
	}
	r := catalog.Record{ID: id, Service: string(v.GetStringBytes("service")), Address: string(v.GetStringBytes("address")),
		Zone: string(v.GetStringBytes("zone")), Slots: v.GetInt("capacity_slots"), Sequence: v.GetUint64("sequence")}
	switch string(v.GetStringBytes("state")) {
	case "available":
	case "draining":
		r.State = catalog.Draining
	default:
		return problem(400, "unreadable", "state is neither available nor draining")
	}
	if text := string(v.GetStringBytes("warmup_left")); text != "" {
		left, ok := configuration.Duration(text)
		if !ok {
			return problem(400, "unreadable", "warmup_left is not a time: write a number and its unit, as in 1500ms")
		}
		r.WarmMs = uint64(left.Milliseconds())
	}
	if r.Service == "" || r.Address == "" || strings.HasPrefix(r.Service, "@") {
		return problem(400, "unreadable", "service or address is missing")
	}
	h.mu.Lock()
	news := h.book.Beat(h.now(), r)
	if news {
		h.stir()
	}
	apart := h.apart()
	unsafe := r.State == catalog.Draining && !h.drained[id]
	h.mu.Unlock()
	if news {
		h.log.WithFields(logrus.Fields{"instance": id, "service": r.Service, "state": r.State.String(), "sequence": r.Sequence, "warm_ms": r.WarmMs}).Debug("server is news")
	}
	// What is acknowledged must not end with this machine, wherever it heard of it first.
	if unsafe && !h.acknowledge(ctx, id) {
		return problem(503, "apart", "no majority of the registries has it: call another")
	}
	if apart {
		// It is kept all the same. The server goes on to a registry that others hear: they would take
		// it for silent.
		return problem(503, "apart", "no majority of the registries is heard: call another")
	}
	if !news {
		return httpapi.Answer{Status: 200} // it comes here already
	}
	return httpapi.Answer{Status: 200, Body: []byte(`{"heartbeat_target":"` + h.set.Listen["control_plane"] + `"}`)}
}

// acknowledge has a majority of the registries hold the drain of a server, and tells whether one
// does. It is remembered, so that the beats of a server that drains for long need no further calls.
func (h *Registry) acknowledge(ctx context.Context, id string) bool {
	if !h.push(ctx, id) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drained[id] = true
	return true
}

func (h *Registry) deregister(ctx context.Context, id string) httpapi.Answer {
	h.mu.Lock()
	if h.book.Leave(h.now(), id) {
		h.stir()
	}
	h.mu.Unlock()
	if !h.push(ctx, id) {
		return problem(503, "apart", "no majority of the registries has it: call another")
	}
	h.mu.Lock()
	delete(h.drained, id)
	h.mu.Unlock()
	return httpapi.Answer{Status: 200}
}

// seen is the version of the register that is in force here.
func (h *Registry) seen() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reg.Seq
}

// change has an order agreed.
func (h *Registry) change(ctx context.Context, o controlstate.Order) httpapi.Answer {
	out, ok := h.order(ctx, o)
	if !ok {
		return problem(503, "no_majority", "no majority of the stores answers: send it again, here or elsewhere")
	}
	h.log.WithFields(logrus.Fields{"kind": o.Kind, "zone": o.Zone, "status": out.Status, "code": out.Code, "seq": out.Seq}).Info("order is answered")
	if out.Status != 200 {
		return problem(out.Status, out.Code, out.Text)
	}
	return httpapi.Answer{Status: 200}
}

func (h *Registry) fetch(ctx context.Context) httpapi.Answer {
	var w configstore.Watched
	if !h.anyStore(func(to string, left time.Duration) bool {
		return h.caller.Call(ctx, to, configstore.CallFetch, nil, &w, left) == nil && w.Register != nil
	}) {
		return problem(503, "no_majority", "no majority of the stores answers: ask again, here or elsewhere")
	}
	if len(w.Register.Config) == 0 {
		return problem(404, "none", "there is no configuration yet")
	}
	return httpapi.Answer{Status: 200, Body: w.Register.Config}
}
