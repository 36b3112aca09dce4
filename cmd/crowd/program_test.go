package crowd_test

import (
	_ "bluebellflow/cmd/cli" // so that a change of the program counts as a change of the test, whose result may be cached
	_ "bluebellflow/cmd/system"
)
