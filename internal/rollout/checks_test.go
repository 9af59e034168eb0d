package rollout

import "leadproxy/internal/property"

func init() { property.More(4000, 80) }
