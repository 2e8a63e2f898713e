// Package meshpb contains the generated code of the gRPC protocol between the controller
// nodes.
package meshpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative mesh.proto
