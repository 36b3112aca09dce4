package claim

// Recode decodes and encodes an object.
func Recode(raw []byte) ([]byte, error) {
	order, claims, err := decodeShard(raw)
	if err != nil {
		return nil, err
	}
	return encodeShard(order, claims, len(raw)), nil
}
