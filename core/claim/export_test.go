package claim

// Recode decodes and encodes an object.
func Recode(raw []byte) ([]byte, error) {
	order, claims, err := decode(raw)
	if err != nil {
		return nil, err
	}
	return encode(order, claims, len(raw)), nil
}
