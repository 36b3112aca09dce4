package settings

import "embed"

//go:embed samples/kitab.json samples/vordach.json
var samples embed.FS

// Samples returns the names of the sample settings in ascending order.
func Samples() []string { return []string{"kitab", "vordach"} }

// Sample returns a sample settings file by its name.
func Sample(name string) ([]byte, error) {
	src, err := samples.ReadFile("samples/" + name + ".json")
	if err != nil {
		return nil, NotFoundError{"sample", name}
	}
	return src, nil
}
