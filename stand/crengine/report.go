package crengine

import (
	"context"
	"time"

	"crocusrack/schema/crendpoint"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// report is the state of the engine as reported later.
type report struct{ *crendpoint.ReportResponse }

// putReport records the state of now. It needs the lock.
func (e *Engine) putReport() { e.putReportAt(time.Now()) }

func (e *Engine) putReportAt(now time.Time) {
	e.reports.Put(now, report{&crendpoint.ReportResponse{
		Epoch:        e.epoch,
		InFlight:     uint32(e.inFlight),
		Queued:       uint32(len(e.queue)),
		Capacity:     uint32(e.Capacity),
		Cold:         e.cold(),
		Models:       e.orders.models,
		Role:         e.orders.role,
		FencingToken: e.orders.fencing,
		Leaving:      e.faults.Faults().GetLeaving(),
	}})
}

// Report returns the state of ReportLag ago.
func (h handler) Report(ctx context.Context, _ *connect.Request[crendpoint.ReportRequest]) (*connect.Response[crendpoint.ReportResponse], error) {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state, at := e.reports.At(time.Now())
	response := proto.CloneOf(state.ReportResponse)
	response.At = timestamppb.New(at)
	return connect.NewResponse(response), nil
}
