package crdaemon

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"crocusrack/io/crfleet"
	"crocusrack/schema/crcaller"
	pb "crocusrack/schema/crpeer"
)

// peerServer answers the other instances.
type peerServer struct {
	pb.UnimplementedPeerServiceServer
	*crfleet.Fleet
	daemon *Daemon
}

// Gossip answers a peer's message.
func (p *peerServer) Gossip(ctx context.Context, m *pb.GossipMessage) (*pb.GossipMessage, error) {
	return p.Fleet.Gossip(ctx, m)
}

// ExchangeLoads answers another owner's load sums.
func (p *peerServer) ExchangeLoads(_ context.Context, m *pb.LoadsMessage) (*pb.LoadsMessage, error) {
	return p.daemon.answerLoads(m), nil
}

// Probe reaches a third instance for a peer.
func (p *peerServer) Probe(ctx context.Context, r *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	return p.Fleet.Probe(ctx, r)
}

// Members returns the whole member table.
func (p *peerServer) Members(ctx context.Context, r *pb.MembersRequest) (*pb.MembersResponse, error) {
	return p.Fleet.Members(ctx, r)
}

// PullCatalogue returns the records changed after a version.
func (p *peerServer) PullCatalogue(_ context.Context, r *pb.PullCatalogueRequest) (*pb.PullCatalogueResponse, error) {
	return p.daemon.follower.Serve(r), nil
}

// ServeChat runs a chat at an endpoint of a shard that this instance owns.
func (p *peerServer) ServeChat(r *pb.ServeChatRequest, stream pb.PeerService_ServeChatServer) error {
	if r.Request == nil {
		return errNoRequest
	}
	s := p.daemon.service(r.Request.Service)
	if s == nil {
		return stream.Send(&crcaller.ChatResponse{End: &crcaller.ChatEnd{Outcome: unknownService(r.Request.Service)}})
	}
	end := p.daemon.owner.Chat(stream.Context(), r, s, stream.Send)
	return stream.Send(&crcaller.ChatResponse{
		RequestId: r.Request.RequestId,
		Attempt:   r.Request.Attempt,
		Offset:    end.TokenCount,
		End:       end,
	})
}

// ServeCall runs a call at an endpoint of a shard that this instance owns, or
// takes over a call whose execution token this instance has issued.
func (p *peerServer) ServeCall(ctx context.Context, r *pb.ServeCallRequest) (*crcaller.CallResponse, error) {
	if r.Request == nil {
		return nil, errNoRequest
	}
	if !r.TokenSpent {
		return p.daemon.entry.ServeCall(ctx, r.Request), nil
	}
	s := p.daemon.service(r.Request.Service)
	if s == nil {
		return &crcaller.CallResponse{Outcome: unknownService(r.Request.Service)}, nil
	}
	return p.daemon.owner.Call(ctx, r, s), nil
}

// Cancel stops a request that this instance runs as an owner.
func (p *peerServer) Cancel(_ context.Context, r *crcaller.CancelRequest) (*crcaller.CancelResponse, error) {
	return &crcaller.CancelResponse{Found: p.daemon.owner.Cancel(r.RequestId)}, nil
}

// Outcome tells how a request ended whose execution token this instance has
// issued.
func (p *peerServer) Outcome(ctx context.Context, r *crcaller.OutcomeRequest) (*crcaller.OutcomeResponse, error) {
	return p.daemon.entry.OutcomeOf(ctx, r.RequestId), nil
}

// TakeOver hands a shard over to its new owner.
func (p *peerServer) TakeOver(_ context.Context, r *pb.TakeOverRequest) (*pb.TakeOverResponse, error) {
	return p.daemon.handOver(r), nil
}

// NoteCached takes in what a peer has imported at an endpoint of this instance.
func (p *peerServer) NoteCached(_ context.Context, r *pb.NoteCachedRequest) (*pb.NoteCachedResponse, error) {
	p.daemon.noteCached(r)
	return &pb.NoteCachedResponse{}, nil
}

// Borrow lends request tokens of the client accounts whose quota this instance
// owns.
func (p *peerServer) Borrow(_ context.Context, r *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return p.daemon.lend(r), nil
}

var errNoRequest = status.Error(codes.InvalidArgument, "the message holds no request")
