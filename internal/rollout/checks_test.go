package rollout

import "leadproxy/internal/property"

func init() { property.SetRapidDefaults(4000, 80) }
