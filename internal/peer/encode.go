package peer

import "encoding/binary"

// Append appends the encoded frame to dst.
func Append(dst []byte, f *Frame) []byte {
	labelLength := byte(len(f.Label))
	dst = append(dst, version, byte(f.Kind), labelLength)
	dst = append(dst, f.Label[:labelLength]...)
	switch f.Kind {
	case Heartbeat:
		dst = appendHeartbeat(dst, f)
	case Relay:
		dst = binary.BigEndian.AppendUint64(dst, f.ID)
		dst = appendBytes(dst, f.Body)
	case RelayAck:
		dst = binary.BigEndian.AppendUint64(dst, f.ID)
		dst = binary.BigEndian.AppendUint16(dst, f.Status)
		dst = appendBytes(dst, f.Body)
	case View:
		dst = binary.BigEndian.AppendUint64(dst, f.Revision)
	}
	return dst
}

func appendHeartbeat(dst []byte, f *Frame) []byte {
	var flags byte
	if f.StateOK {
		flags |= flagStateOK
	}
	if f.IsLeader {
		flags |= flagIsLeader
	}
	dst = append(dst, flags)
	dst = binary.BigEndian.AppendUint64(dst, f.FencingToken)
	dst = binary.BigEndian.AppendUint16(dst, f.Requests)
	return binary.BigEndian.AppendUint16(dst, f.Writes)
}

// appendBytes appends data, prefixed with its length.
func appendBytes(dst, data []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(data)))
	return append(dst, data...)
}
