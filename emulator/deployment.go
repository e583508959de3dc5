package emulator

import (
	"bytes"
	_ "embed" // for the configuration's template
	"fmt"
	"text/template"
	"time"

	"github.com/masticway/masticway"
)

//go:embed deployment.json.tmpl
var deploymentText string

var deploymentTemplate = template.Must(template.New("deployment").Parse(deploymentText))

// What the template of a deployment says.
const (
	// DeploymentHost is the host of all its routes.
	DeploymentHost = "soak.example"
	// DeploymentKeyPrefix stands before a workspace's name in its key.
	DeploymentKeyPrefix = "key-"
	// DeploymentTimeout is the longest time that its routes keep a caller waiting.
	DeploymentTimeout = 6 * time.Second
	// DeploymentTokensPerEvent is how many tokens an event of its engines has.
	DeploymentTokensPerEvent = 3
)

// Deployment is a configuration with a route of each kind and one more for each path, as the operator writes it.
type Deployment struct {
	Number  int64
	Paths   []string
	Prepaid map[string]int64
}

// Put writes the configuration and returns its size in bytes; it fails with the template's errors.
func (d Deployment) Put(rows *RowStore) (int, error) {
	var document bytes.Buffer
	if err := deploymentTemplate.Execute(&document, d); err != nil {
		return 0, fmt.Errorf("writing a configuration: %w", err)
	}
	rows.Put(masticway.RowKey{Table: "op", Key: "config"}, document.Bytes())
	return document.Len(), nil
}

// Register writes a server's registration, as one that is ready or that is leaving.
func (s *OpaqueServer) Register(rows *RowStore, pool, zone string, leaving bool) {
	state := "ready"
	if leaving {
		state = "draining"
	}
	rows.Put(s.key(), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":32,"state":%q}`, pool, s.Address(), zone, state))
}

// Deregister removes a server's registration.
func (s *OpaqueServer) Deregister(rows *RowStore) { rows.Delete(s.key()) }

func (s *OpaqueServer) key() masticway.RowKey { return masticway.RowKey{Table: "servers", Key: s.ID} }
