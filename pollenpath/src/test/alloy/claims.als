/*
 * At-most-once execution of the requests of one non-idempotent key, by claims in a store.
 *
 * The protocol does not depend on state of the entries, so they are not modelled: whatever an entry
 * may do with stale data, after a pause or in a retry, is enabled here at any time. A write whose
 * reply was lost stays in flight, and a message that arrives late or repeatedly stays sent.
 */
module claims

open util/ordering[Attempt]

sig Attempt {}

sig Server {}

/* One incarnation of the side process of a server. A restart creates another one. */
sig Incarnation {
  server: one Server
}

/* A claim that an entry may write: only this incarnation may run this attempt. */
sig Claim {
  attempt: one Attempt,
  executor: one Incarnation
}

/*
 * The store: the active claim, every claim that was ever active and may therefore have been read,
 * writes in flight, and claims marked as released.
 */
var lone sig ActiveClaim in Claim {}
var sig Readable in Claim {}
var sig InFlight in Claim {}
var sig Released in Claim {}

/* The network: submits that were sent, and claims whose grants have expired, which is permanent. */
var sig Sent in Claim {}
var sig Expired in Claim {}

/*
 * The executors: live incarnations; claims whose run is remembered; claims refused with "not run";
 * refusals still remembered (tombstones); claims that ran; the claim whose run was not the first.
 */
var sig Alive in Incarnation {}
var sig Remembered in Claim {}
var sig Refused in Claim {}
var sig Tombstone in Claim {}
var sig Ran in Claim {}
var lone sig RanTwice in Claim {}

/*
 * The rule that a mutant breaks. NoFence: the store applies writes conditionally. NoTombstone:
 * executors remember refusals. NoIncarnation: only the claimed incarnation runs a request.
 * ExpiryTrusted: an expired claim alone does not permit the next attempt. MemoryTrusted: executors
 * refuse expired grants.
 */
abstract sig Defect {}
lone sig NoFence, NoTombstone, NoIncarnation, ExpiryTrusted, MemoryTrusted extends Defect {}

pred init {
  no ActiveClaim and no Readable and no InFlight and no Released
  no Sent and no Expired
  and no Remembered and no Refused and no Tombstone and no Ran and no RanTwice
  Alive = Incarnation
}

/* An entry starts to write a claim: of the first attempt, or of the next one after a refusal. */
pred propose[c: Claim] {
  c not in InFlight
  c.attempt = first or (some p: Readable | p.attempt = c.attempt.prev and mayReplace[p])
  InFlight' = InFlight + c
  store_unchanged and network_unchanged and executors_unchanged
}

/* Whether a claim of the next attempt may replace this one. */
pred mayReplace[p: Claim] {
  p in Refused + Released or (some ExpiryTrusted and p in Expired)
}

/* The store applies a conditional write, possibly long after the entry has given up. */
pred apply[c: Claim] {
  c in InFlight
  some NoFence or (no ActiveClaim and c.attempt = first) or c.attempt.prev = ActiveClaim.attempt
  ActiveClaim' = c
  Readable' = Readable + c
  InFlight' = InFlight - c
  Released' = Released
  network_unchanged and executors_unchanged
}

/* An entry that has read a claim sends the request to the executor named in the claim. */
pred send[c: Claim] {
  c in Readable
  Sent' = Sent + c
  Expired' = Expired
  InFlight' = InFlight
  store_unchanged and executors_unchanged
}

/* The grant of a claim expires. */
pred expire[c: Claim] {
  Expired' = Expired + c
  Sent' = Sent
  InFlight' = InFlight
  store_unchanged and executors_unchanged
}

/*
 * The submit reaches an incarnation of its executor's server, perhaps a later one than claimed, and
 * passes its checks: incarnation, expiry, and no remembered run or refusal that rules it out.
 */
pred admissible[c: Claim, i: Incarnation] {
  c in Sent and i in Alive
  i.server = c.executor.server
  some NoIncarnation or i = c.executor
  some MemoryTrusted or c not in Expired
  no r: Remembered + Tombstone | r.executor = i and not (r in Tombstone and lt[r.attempt, c.attempt])
}

/* The executor starts the run. It is remembered only if the incarnation is the claimed one. */
pred start[c: Claim, i: Incarnation] {
  admissible[c, i]
  Ran' = Ran + c
  RanTwice' = (some Ran implies c else RanTwice)
  Remembered' = (i = c.executor implies Remembered + c else Remembered)
  Refused' = Refused
  Tombstone' = Tombstone - executor.i
  Alive' = Alive
  InFlight' = InFlight
  store_unchanged and network_unchanged
}

/* The executor refuses the attempt with "not run" and keeps a tombstone. */
pred refuse[c: Claim] {
  admissible[c, c.executor]
  Refused' = Refused + c
  Tombstone' = (some NoTombstone implies Tombstone else Tombstone + c)
  Remembered' = Remembered and Ran' = Ran and RanTwice' = RanTwice and Alive' = Alive
  InFlight' = InFlight
  store_unchanged and network_unchanged
}

/* The executor forgets a run or a tombstone whose retention has ended. */
pred forget[c: Claim] {
  c in Expired and c in Remembered + Tombstone
  Remembered' = Remembered - c
  Tombstone' = Tombstone - c
  Refused' = Refused and Ran' = Ran and RanTwice' = RanTwice and Alive' = Alive
  InFlight' = InFlight
  store_unchanged and network_unchanged
}

/* An incarnation ends and loses what it remembers. */
pred crash[i: Incarnation] {
  i in Alive
  Alive' = Alive - i
  Remembered' = Remembered - executor.i
  Tombstone' = Tombstone - executor.i
  Refused' = Refused and Ran' = Ran and RanTwice' = RanTwice
  InFlight' = InFlight
  store_unchanged and network_unchanged
}

/* Before an entry answers "not run" to a caller, it marks the claim as released if still active. */
pred release[c: Claim] {
  c in Refused and c = ActiveClaim
  Released' = Released + c
  ActiveClaim' = ActiveClaim and Readable' = Readable and InFlight' = InFlight
  network_unchanged and executors_unchanged
}

pred store_unchanged {
  ActiveClaim' = ActiveClaim and Readable' = Readable and Released' = Released
}

pred network_unchanged {
  Sent' = Sent and Expired' = Expired
}

pred executors_unchanged {
  Alive' = Alive and Remembered' = Remembered and Refused' = Refused
  Tombstone' = Tombstone and Ran' = Ran and RanTwice' = RanTwice
}

pred stutter {
  InFlight' = InFlight
  store_unchanged and network_unchanged and executors_unchanged
}

pred step {
  stutter
  or (some c: Claim |
    propose[c] or apply[c] or send[c] or expire[c] or refuse[c] or forget[c] or release[c]
    or (some i: Incarnation | start[c, i]))
  or (some i: Incarnation | crash[i])
}

fact traces {
  init
  always step
}

pred atMostOnce {
  always no RanTwice
}

/* When a claim is released, no attempt has run, and a released claim never runs. */
pred notRunIsTrue {
  always all c: Claim - Released | c in Released' implies no Ran
  always all c: Released | c not in Ran
}

check AtMostOnce { no Defect implies atMostOnce } for 3 but 10 steps
check NotRunIsTrue { no Defect implies notRunIsTrue } for 3 but 10 steps

/* The protocol allows a run on one executor after another executor has refused. */
run RunsAfterRefusal {
  no Defect
  eventually (some disj c, d: Claim | c in Refused and d in Ran and c.executor != d.executor)
} for 3 but 10 steps

check MutantNoFence { Defect = NoFence implies atMostOnce } for 3 but 10 steps
check MutantNoTombstone { Defect = NoTombstone implies atMostOnce } for 3 but 10 steps
check MutantNoTombstoneDenies { Defect = NoTombstone implies notRunIsTrue } for 3 but 10 steps
check MutantNoIncarnation { Defect = NoIncarnation implies atMostOnce } for 3 but 10 steps
check MutantExpiryTrusted { Defect = ExpiryTrusted implies atMostOnce } for 3 but 10 steps
check MutantMemoryTrusted { Defect = MemoryTrusted implies atMostOnce } for 3 but 10 steps
