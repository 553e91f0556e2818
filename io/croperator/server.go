// Package croperator serves the operators' interface of an instance. It checks
// requests and turns results into Connect codes; what the catalogue, the
// members and the store say comes through function fields.
package croperator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	cat "crocusrack/schema/crcatalogue"
	pb "crocusrack/schema/croperator"
	"crocusrack/schema/croperator/croperatorconnect"
)

const (
	// maxRequestBytes bounds a request, in bytes. A catalogue with some
	// thousand endpoints is about a megabyte.
	maxRequestBytes = 16 << 20
	// longestAuthor and longestNote are in bytes.
	longestAuthor = 100
	longestNote   = 1000
	// defaultHistory and longestHistory are in changes.
	defaultHistory = 20
	longestHistory = 1000
	// setOutAttempts bounds the tries of one SetOut against other writers.
	setOutAttempts = 5
)

// Versioned is a catalogue with its version. Version 0 is the empty catalogue
// before the first change.
type Versioned struct {
	Version   uint64
	Catalogue *cat.Catalogue
}

// Proposal is a catalogue to make current.
type Proposal struct {
	Catalogue *cat.Catalogue
	// BaseVersion must be the current version when the change takes effect.
	BaseVersion uint64
	Author      string
	Note        string
	// DryRun checks only.
	DryRun bool
}

// Result tells how a proposal ended.
type Result int

// The results of a proposal.
const (
	// Committed means that the version is current, or would be in a dry run.
	Committed Result = iota
	// Conflict means that the base version was not current. Nothing changed.
	Conflict
	// Invalid means that the catalogue contradicts itself. Nothing changed.
	Invalid
	// Unavailable means that the store could not be asked. Nothing changed.
	Unavailable
	// Unknown means that the store's answer was lost and could not be read
	// back: the change may have taken effect.
	Unknown
)

// Commit is the end of a proposal.
type Commit struct {
	Result Result
	// Version is the new version when committed, and the current one at a
	// conflict when it is known.
	Version uint64
	// Changed holds the keys of the changed records, such as
	// service/taalpers.
	Changed []string
	// Detail tells people why the proposal was not committed. When it is empty
	// they are told what the result means.
	Detail string
}

// Server serves the operators' interface. All fields are set before use.
type Server struct {
	// Current returns the catalogue in force at this instance; false when it
	// has none yet.
	Current func() (Versioned, bool)
	// Latest reads the current catalogue from the store.
	Latest func(ctx context.Context) (Versioned, error)
	// Commit validates a proposal and makes it current.
	Commit func(ctx context.Context, p Proposal) Commit
	// History returns the last changes, newest first.
	History func(ctx context.Context, limit int) ([]*cat.Change, error)
	// Status returns what this instance has heard of the fleet.
	Status func() *pb.StatusResponse
	// Dump returns the state of this process. It is encoded as JSON.
	Dump func() any
}

// Handler returns the path prefix and the handler to serve there.
func (s *Server) Handler() (string, http.Handler) {
	return croperatorconnect.NewOperatorServiceHandler(handler{s}, connect.WithReadMaxBytes(maxRequestBytes))
}

// handler has the methods of the service, which differ from the fields of
// Server in their types only.
type handler struct {
	server *Server
}

func (h handler) GetCatalogue(_ context.Context, _ *connect.Request[pb.GetCatalogueRequest]) (*connect.Response[pb.GetCatalogueResponse], error) {
	current, ok := h.server.Current()
	if !ok {
		return nil, errNotReady
	}
	return connect.NewResponse(&pb.GetCatalogueResponse{Version: current.Version, Catalogue: current.Catalogue}), nil
}

func (h handler) Apply(ctx context.Context, r *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	m := r.Msg
	if m.GetCatalogue() == nil {
		return nil, invalid("catalogue: missing")
	}
	if err := checkAuthor(m.GetAuthor()); err != nil {
		return nil, err
	}
	if n := len(m.GetNote()); n > longestNote {
		return nil, invalid("note: %d bytes, at most %d are kept", n, longestNote)
	}
	commit := h.server.Commit(ctx, Proposal{
		Catalogue:   m.GetCatalogue(),
		BaseVersion: m.GetBaseVersion(),
		Author:      m.GetAuthor(),
		Note:        m.GetNote(),
		DryRun:      m.GetDryRun(),
	})
	if err := commit.err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ApplyResponse{Version: commit.Version, Changed: commit.Changed}), nil
}

func (h handler) History(ctx context.Context, r *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	limit := int(r.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistory
	}
	if limit > longestHistory {
		return nil, invalid("limit: %d, at most %d changes are returned", limit, longestHistory)
	}
	changes, err := h.server.History(ctx, limit)
	if err != nil {
		return nil, storeError(err)
	}
	return connect.NewResponse(&pb.HistoryResponse{Changes: changes}), nil
}

func (h handler) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	return connect.NewResponse(h.server.Status()), nil
}

func (h handler) Dump(context.Context, *connect.Request[pb.DumpRequest]) (*connect.Response[pb.DumpResponse], error) {
	at := timestamppb.New(time.Now())
	data, err := json.Marshal(h.server.Dump())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode the dump: %w", err))
	}
	return connect.NewResponse(&pb.DumpResponse{At: at, Json: string(data)}), nil
}

var errNotReady = connect.NewError(connect.CodeUnavailable, errors.New("this instance has no catalogue yet"))

func invalid(format string, args ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, args...))
}

// storeError keeps a Connect code and takes all other errors for an outage.
func storeError(err error) error {
	var coded *connect.Error
	if errors.As(err, &coded) {
		return err
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

func checkAuthor(author string) error {
	if author == "" {
		return invalid("author: missing")
	}
	if n := len(author); n > longestAuthor {
		return invalid("author: %d bytes, at most %d are kept", n, longestAuthor)
	}
	return nil
}

// err returns nil when the proposal was committed. An unknown end has the code
// unknown, which no other end has.
func (c Commit) err() error {
	var code connect.Code
	switch c.Result {
	case Committed:
		return nil
	case Conflict:
		code = connect.CodeAborted
	case Invalid:
		code = connect.CodeInvalidArgument
	case Unavailable:
		code = connect.CodeUnavailable
	default:
		code = connect.CodeUnknown
	}
	return connect.NewError(code, errors.New(c.text()))
}

// text is the detail, or what the result means when there is none.
func (c Commit) text() string {
	if c.Detail != "" {
		return c.Detail
	}
	switch c.Result {
	case Conflict:
		return fmt.Sprintf("the base version is not current; the current version is %d", c.Version)
	case Invalid:
		return "the catalogue contradicts itself"
	case Unavailable:
		return "the store can't be reached; nothing has changed"
	}
	return "the store's answer was lost; the change may be current"
}
