@0xb6c1f2a94d7e3058;
# Messages between balancers. On the wire a message consists of the type byte
# 1, a keyed BLAKE2b MAC of 16 bytes and the packed form of Message.

struct Update {
  name @0 :Text;
  domain @1 :Text;
  host @2 :UInt32;
  port @3 :UInt16;
  incarnation @4 :UInt64;
  counter @5 :UInt32;
  state @6 :UInt8;
}

struct Kind {
  name @0 :Text;
  slots @1 :Float32;
}

struct Demand {
  service @0 :Text;
  kinds @1 :List(Kind);
  draining @2 :List(Text);
}

# Compact form of Demand with xxh32 hashes in place of names.
struct Share {
  service @0 :UInt32;
  kinds @1 :List(UInt32);
  slots @2 :List(Float32);
  draining @3 :List(Text);
}

struct Message {
  sender @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt32;
  leaving @3 :Bool;
  sequence @4 :UInt64;
  revision @5 :UInt64;
  # First 8 bytes of the document's digest.
  digest @6 :UInt64;
  updates @7 :List(Update);

  body :union {
    announce @8 :Void;
    ping :group {
      nonce @9 :UInt32;
      # The sender does not know the receiver and requests its Update.
      introduce @10 :Bool;
    }
    ack :group {
      nonce @11 :UInt32;
      # Member that answered an indirect probe; empty for a direct one.
      target @12 :Text;
    }
    pingReq :group {
      nonce @13 :UInt32;
      target @14 :Text;
      host @15 :UInt32;
      port @16 :UInt16;
    }
    pageRequest :group {
      after @17 :Text;
    }
    page :group {
      members @18 :List(Update);
      # Value of "after" for the next page; empty on the last page.
      next @19 :Text;
    }
    fetch :group {
      wanted @20 :UInt64;
      # Revision that the sender has as base of a delta, 0 for none.
      base @21 :UInt64;
      first @22 :UInt16;
      count @23 :UInt8;
    }
    chunk :group {
      wanted @24 :UInt64;
      base @25 :UInt64;
      # xxh3 hash of the whole transfer, so that chunks of different
      # transfers are not combined.
      transfer @26 :UInt64;
      index @27 :UInt16;
      total @28 :UInt16;
      data @29 :Data;
    }
    demands @30 :List(Demand);
    # Bloom filter of flows without a token that stay on their server although
    # a change of the servers moves the hash.
    pinned :group {
      service @31 :Text;
      # Empty in the message that completes a set of filters.
      server @32 :Text;
      part @33 :UInt16;
      parts @34 :UInt16;
      data @35 :Data;
    }
    shares @36 :List(Share);
    # The sender cannot resolve a hash in Shares and requests Demands.
    namesWanted @37 :Void;
  }
}
