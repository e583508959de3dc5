package emulator

import (
	"bytes"
	"cmp"
	_ "embed" // for the configuration's template
	"fmt"
	"maps"
	"slices"
	"text/template"
	"time"

	"github.com/masticway/masticway"
)

//go:embed deployment.json.tmpl
var deploymentTemplateText string

var deploymentTemplate = template.Must(template.New("deployment").Parse(deploymentTemplateText))

// Values that deployment.json.tmpl contains.
const (
	// DeploymentHost is the host of all routes.
	DeploymentHost = "soak.example"
	// DeploymentTimeout is the request timeout of all routes.
	DeploymentTimeout = 6 * time.Second
	// DeploymentTokensPerEvent is the number of tokens in an event from an engine.
	DeploymentTokensPerEvent = 3
)

// defaultPlainConnections is the default limit of connections to each plain server.
const defaultPlainConnections = 60

// Deployment is a deployment configuration in the operator's format. It has one route of each kind and one more for each of
// Paths.
type Deployment struct {
	Number  int64            // the version of the configuration
	Paths   []string         // the paths of further routes
	Prepaid map[string]int64 // prepaid tokens by workspace
	// Keys has the key of each workspace that does not have its first one; it is empty if the workspace has none.
	Keys map[string]string
	// PlainConnections is the limit of connections to each plain server; zero is the default.
	PlainConnections int
}

// DeploymentKey returns a key of a workspace. The number of the first one is zero.
func DeploymentKey(workspace string, number int) string {
	if number == 0 {
		return "key-" + workspace
	}
	return fmt.Sprintf("key-%s-%d", workspace, number)
}

// tenant is a workspace of the configuration.
type tenant struct {
	Name, Key string
	Prepaid   int64
}

// Tenants returns the workspaces of the configuration, sorted by name.
func (d Deployment) Tenants() []tenant {
	var all []tenant
	for _, name := range slices.Sorted(maps.Keys(d.Prepaid)) {
		key, ok := d.Keys[name]
		if !ok {
			key = DeploymentKey(name, 0)
		}
		all = append(all, tenant{name, key, d.Prepaid[name]})
	}
	return all
}

// MaxPlainConnections returns the limit of connections to each plain server that the configuration has.
func (d Deployment) MaxPlainConnections() int {
	return cmp.Or(d.PlainConnections, defaultPlainConnections)
}

// Put writes the configuration to its row in the store, regardless of the store's faults, and returns its size in bytes. It
// returns an error if the template cannot be executed.
func (d Deployment) Put(rows *RowStore) (int, error) {
	var document bytes.Buffer
	if err := deploymentTemplate.Execute(&document, d); err != nil {
		return 0, fmt.Errorf("writing a configuration: %w", err)
	}
	rows.Put(masticway.RowKey{Table: "op", Key: "config"}, document.Bytes())
	return document.Len(), nil
}

// Register writes a server's registration row, with its software version and its state as ready or draining.
func (s *OpaqueServer) Register(rows *RowStore, pool, zone string, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	rows.Put(s.registrationKey(), fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":32,"state":%q}`, pool, s.Address(), zone, s.Version, state))
}

// Overwrite replaces a server's registration row by what another writer left there.
func (s *OpaqueServer) Overwrite(rows *RowStore, value []byte) { rows.Put(s.registrationKey(), value) }

// Deregister removes a server's registration row.
func (s *OpaqueServer) Deregister(rows *RowStore) { rows.Delete(s.registrationKey()) }

func (s *OpaqueServer) registrationKey() masticway.RowKey {
	return masticway.RowKey{Table: "servers", Key: s.ID}
}
