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

// Paths of the HTTP API for servers and operators, which api/control.yaml describes.
const (
	pathReplace    = "/config/replace"
	pathUpdate     = "/config/update"
	pathFetch      = "/config/fetch"
	pathInstances  = "/instances/"
	pathEvacuation = "/evacuation/"
)

// errorAnswer returns an HTTP error with a JSON body that says what was wrong and what to do.
func errorAnswer(status int, code, text string) httpapi.Answer {
	body, err := json.Marshal(map[string]string{"code": code, "error": text})
	if err != nil {
		body = nil
	}
	answer := httpapi.Answer{Status: status, Body: body}
	if status == 503 {
		answer.Header = map[string]string{"Retry-After": "0.2"}
	}
	return answer
}

// isEvacuation reports whether a request begins or finishes an evacuation. Such a request carries no identity, so
// a delayed one cannot be told from a new one, except that its caller has disconnected.
func isEvacuation(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, pathEvacuation) }

// handleAPI answers the HTTP requests of servers and operators.
func (h *Registry) handleAPI(ctx context.Context, r *http.Request, body []byte) httpapi.Answer {
	path := r.URL.Path
	switch {
	case strings.HasPrefix(path, pathInstances):
		if r.Method != http.MethodPost {
			return errorAnswer(405, "method", "send it with POST")
		}
		id, action, _ := strings.Cut(path[len(pathInstances):], "/")
		switch {
		case id == "" || len(id) > 200:
			return errorAnswer(400, "unreadable", "the path names no instance")
		case action == "heartbeat":
			return h.handleHeartbeat(ctx, id, body)
		case action == "deregister":
			return h.handleDeregister(ctx, id)
		}
	case path == pathReplace && r.Method == http.MethodPost:
		return h.handleChange(ctx, controlstate.Order{Kind: controlstate.ReplaceConfig, Body: body})
	case path == pathUpdate && r.Method == http.MethodPost:
		return h.handleChange(ctx, controlstate.Order{Kind: controlstate.UpdateConfig, Body: body})
	case path == pathFetch && r.Method == http.MethodGet:
		return h.handleFetch(ctx)
	case strings.HasPrefix(path, pathEvacuation) && r.Method == http.MethodPost:
		zone, action, _ := strings.Cut(path[len(pathEvacuation):], "/")
		if _, known := h.settings.Zones[zone]; !known {
			return errorAnswer(404, "unknown_zone", "no zone "+zone+" is in the settings")
		}
		switch action {
		case "begin":
			return h.handleChange(ctx, controlstate.Order{Kind: controlstate.BeginEvacuation, Zone: zone, SeenSeq: h.registerSeq()})
		case "finish":
			return h.handleChange(ctx, controlstate.Order{Kind: controlstate.FinishEvacuation, Zone: zone, SeenSeq: h.registerSeq()})
		}
	}
	if path == pathReplace || path == pathUpdate || path == pathFetch || strings.HasPrefix(path, pathEvacuation) {
		return errorAnswer(405, "method", "no call "+r.Method+" "+path+": see api/control.yaml for its method and path")
	}
	return errorAnswer(404, "unknown_call", "no call "+r.Method+" "+path)
}

// handleHeartbeat records the state that a server reports about itself.
func (h *Registry) handleHeartbeat(ctx context.Context, id string, body []byte) httpapi.Answer {
	fields, err := fastjson.ParseBytes(body)
	if err != nil {
		return errorAnswer(400, "unreadable", "the body is not JSON: send the fields of a heartbeat")
	}
	record := catalog.Record{ID: id, Service: string(fields.GetStringBytes("service")), Address: string(fields.GetStringBytes("address")),
		Zone: string(fields.GetStringBytes("zone")), Slots: fields.GetInt("capacity_slots"), Sequence: fields.GetUint64("sequence")}
	switch string(fields.GetStringBytes("state")) {
	case "available":
	case "draining":
		record.State = catalog.Draining
	default:
		return errorAnswer(400, "unreadable", "state is neither available nor draining")
	}
	if text := string(fields.GetStringBytes("warmup_left")); text != "" {
		left, ok := configuration.Duration(text)
		if !ok {
			return errorAnswer(400, "unreadable", "warmup_left is not a time: write a number and its unit, as in 1500ms")
		}
		record.WarmupLeftMs = uint64(left.Milliseconds())
	}
	if record.Service == "" || record.Address == "" || strings.HasPrefix(record.Service, "@") {
		return errorAnswer(400, "unreadable", "service or address is missing")
	}
	h.mu.Lock()
	changed := h.localCatalog.ApplyHeartbeat(h.nowMs(), record)
	if changed {
		h.notifyChange()
	}
	isolated := h.isolated()
	unacknowledged := record.State == catalog.Draining && !h.acknowledgedDrains[id]
	h.mu.Unlock()
	if changed {
		h.log.WithFields(logrus.Fields{"instance": id, "service": record.Service, "state": record.State.String(), "sequence": record.Sequence, "warm_ms": record.WarmupLeftMs}).Debug("server state changed")
	}
	// An acknowledged drain must survive the loss of this machine, whichever registry received it first.
	if unacknowledged && !h.acknowledgeDrain(ctx, id) {
		return errorAnswer(503, "apart", "no majority of the registries has it: call another")
	}
	if isolated {
		// The heartbeat is recorded all the same, but the server must move on to a registry that the others can
		// reach: they would consider it silent.
		return errorAnswer(503, "apart", "no majority of the registries is heard: call another")
	}
	if !changed {
		return httpapi.Answer{Status: 200} // the heartbeat changed nothing, so the server keeps its target
	}
	return httpapi.Answer{Status: 200, Body: []byte(`{"heartbeat_target":"` + h.settings.Listen["control_plane"] + `"}`)}
}

// acknowledgeDrain replicates the drain of a server to a majority of the registries and reports whether that
// succeeded. Success is remembered, so that later heartbeats of the draining server need no further calls.
func (h *Registry) acknowledgeDrain(ctx context.Context, id string) bool {
	if !h.replicate(ctx, id) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledgedDrains[id] = true
	return true
}

func (h *Registry) handleDeregister(ctx context.Context, id string) httpapi.Answer {
	h.mu.Lock()
	if h.localCatalog.MarkGone(h.nowMs(), id) {
		h.notifyChange()
	}
	h.mu.Unlock()
	if !h.replicate(ctx, id) {
		return errorAnswer(503, "apart", "no majority of the registries has it: call another")
	}
	h.mu.Lock()
	delete(h.acknowledgedDrains, id)
	h.mu.Unlock()
	return httpapi.Answer{Status: 200}
}

// registerSeq returns the sequence number of the register in force here.
func (h *Registry) registerSeq() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.register.Seq
}

// handleChange submits an order to the configuration store and returns its outcome.
func (h *Registry) handleChange(ctx context.Context, order controlstate.Order) httpapi.Answer {
	outcome, ok := h.submitOrder(ctx, order)
	if !ok {
		return errorAnswer(503, "no_majority", "no majority of the stores answers: send it again, here or elsewhere")
	}
	h.log.WithFields(logrus.Fields{"kind": order.Kind, "zone": order.Zone, "status": outcome.Status, "code": outcome.Code, "seq": outcome.Seq}).Info("order is answered")
	if outcome.Status != 200 {
		return errorAnswer(outcome.Status, outcome.Code, outcome.Text)
	}
	return httpapi.Answer{Status: 200}
}

func (h *Registry) handleFetch(ctx context.Context) httpapi.Answer {
	var response configstore.WatchResponse
	if !h.tryStores(func(to string, left time.Duration) bool {
		return h.caller.Call(ctx, to, configstore.CallFetch, nil, &response, left) == nil && response.Register != nil
	}) {
		return errorAnswer(503, "no_majority", "no majority of the stores answers: ask again, here or elsewhere")
	}
	if len(response.Register.Config) == 0 {
		return errorAnswer(404, "none", "there is no configuration yet")
	}
	return httpapi.Answer{Status: 200, Body: response.Register.Config}
}
