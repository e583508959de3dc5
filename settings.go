package masticway

// ProcessSettings are the settings common to routers and sidecars.
type ProcessSettings struct {
	Instance          string   `json:"instance"`
	Region            string   `json:"region"`
	Zone              string   `json:"zone"`
	PlatformURL       string   `json:"platform_url"`
	PlatformTimeout   Duration `json:"platform_timeout"`
	FleetKeyFile      string   `json:"fleet_key_file"`
	DrainTimeout      Duration `json:"drain_timeout"`
	HeartbeatInterval Duration `json:"beat"`
	LogLevel          string   `json:"log_level"`
}
