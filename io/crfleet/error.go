package crfleet

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// invalidArgument returns err as a gRPC error with the code InvalidArgument.
func invalidArgument(err error) error {
	return status.Error(codes.InvalidArgument, err.Error())
}
