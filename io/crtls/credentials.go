package crtls

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// Credentials returns the credentials of grpc clients between instances. Each
// connection uses the files as they are then.
func (s *Source) Credentials() (credentials.TransportCredentials, error) {
	config, err := s.Client()
	if err != nil {
		return nil, err
	}
	return reloading{TransportCredentials: credentials.NewTLS(config), source: s}, nil
}

// reloading makes a new configuration for each handshake.
type reloading struct {
	credentials.TransportCredentials
	source *Source
}

func (r reloading) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := r.source.Client()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ClientHandshake(ctx, authority, conn)
}

func (r reloading) Clone() credentials.TransportCredentials {
	return reloading{TransportCredentials: r.TransportCredentials.Clone(), source: r.source}
}
