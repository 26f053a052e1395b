package simtest
import ("testing";"os";"strconv")
func TestOne(t *testing.T){ s,_:=strconv.ParseUint(os.Getenv("SEED"),10,64); if s==0 {t.Skip()}; play(t,s)}
