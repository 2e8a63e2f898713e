// Package meshpb is the generated code of the mesh protocol.
package meshpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative mesh.proto
