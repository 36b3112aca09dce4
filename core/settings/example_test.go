package settings_test

import (
	"fmt"

	"bluebellflow/core/settings"
)

func ExampleParse() {
	_, err := settings.Parse("shop.json", []byte(`{
  "root": {"deadline": 8}, // the unit is missing
  "pools": {"model": {"cold": 4, "warm": 2}},
}`))
	fmt.Println(err)
	// Output:
	// shop.json:2:24: root.deadline: want a duration with a unit such as "8s", not 8
	// shop.json:3:31: pool model: cold 4 is above warm 2
}

func ExampleTree_Explain() {
	src, err := settings.Sample("kitab")
	if err != nil {
		fmt.Println(err)
		return
	}
	tree, err := settings.Parse("kitab.json", src)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, key := range []string{"deadline", "weight", "limit", "stages"} {
		e, err := tree.Explain("tozeur", "answer", "tn-gabes", key)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(e.Key, "=", e.Value, "from", e.From)
	}
	// Output:
	// deadline = 6s from pipeline answer
	// weight = 4 from workspace buses
	// limit = 256 from workspace buses
	// stages = encode, retrieve, rerank, generate from pipeline list
}
