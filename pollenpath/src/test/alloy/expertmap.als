/*
 * One expert map a step, however late the orders to the ranks are carried out.
 *
 * What a leader has learnt enables its orders for good: an order may be carried out at any time
 * after that, again and again, whether the leader still lives, sleeps or has been replaced. An
 * answer may be lost, so each order also comes without its sender learning of it. A new epoch makes
 * engines refuse all orders of the one before, which is the same as forgetting what leaders learnt.
 */
module expertmap

open util/ordering[Leader] as tokens
open util/ordering[Step] as order

sig Rank {}

/* A leader under its fencing token. It plans one map, which stands for its version too. */
sig Leader {
  holdAt: one Rank,
  var fenced: set Rank,
  var settled: lone World,
  var sawPrepared: set Rank,
  var sawHeld: set Step,
  var sawArmed: Rank -> Step,
  var released: set Step
}

sig Step {}

one sig World {
  /* The map in use; none is the first map. */
  var current: Rank -> lone Leader,
  var prepared: Rank -> lone Leader,
  var armedMap: Rank -> lone Leader,
  var armedStep: Rank -> lone Step,
  var held: Rank -> lone Step,
  var fence: Rank -> lone Leader,
  var begun: lone Step
}

/* What is broken in a mutant. */
abstract sig Defect {}
lone sig NoFence, NoHold, SomeArmed, NoEpoch extends Defect {}

pred init {
  no fenced and no settled and no sawPrepared and no sawHeld and no sawArmed and no released
  no current and no prepared and no armedMap and no armedStep and no held and no fence and no begun
}

fun fenceOf[r: Rank]: lone Leader { World.fence[r] }

pred passesFence[l: Leader, r: Rank] {
  some NoFence or no fenceOf[r] or gte[l, fenceOf[r]]
}

pred ahead[s: Step] { no World.begun or gt[s, World.begun] }

/* A rank takes an order of a leader that changes nothing but its fence. */
pred doFence[l: Leader, r: Rank] {
  passesFence[l, r]
  World.fence' = World.fence ++ (r -> l)
  fenced' = fenced + l -> r
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  held' = held and begun' = begun
  settled' = settled and sawPrepared' = sawPrepared and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* A leader that has fenced all ranks reads that nothing is armed or held. */
pred settle[l: Leader] {
  l.fenced = Rank
  no World.armedMap and no World.held
  settled' = settled + l -> World
  world_unchanged
  fenced' = fenced and sawPrepared' = sawPrepared and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* It reads that a step is held and nothing is armed: the hold may go. */
pred readHoldOnly[l: Leader, s: Step] {
  l.fenced = Rank and no l.settled
  no World.armedMap and s in Rank.(World.held)
  released' = released + l -> s
  world_unchanged
  fenced' = fenced and settled' = settled and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and sawArmed' = sawArmed
}

/* It disarms a rank that another leader armed. */
pred disarm[l: Leader, r: Rank] {
  l.fenced = Rank and no l.settled and passesFence[l, r]
  World.armedMap' = World.armedMap - r -> Leader
  World.armedStep' = World.armedStep - r -> Step
  current' = current and prepared' = prepared and held' = held and fence' = fence and begun' = begun
  leaders_unchanged
}

/* A rank fetches a map whose version is higher than those that it had. */
pred doPrepare[l: Leader, r: Rank] {
  some l.settled and passesFence[l, r]
  no World.armedMap[r]
  no World.prepared[r] or gt[l, World.prepared[r]]
  no World.current[r] or gt[l, World.current[r]]
  World.prepared' = World.prepared ++ (r -> l)
  World.fence' = World.fence ++ (r -> l)
  current' = current and armedMap' = armedMap and armedStep' = armedStep
  held' = held and begun' = begun
  (sawPrepared' = sawPrepared + l -> r or sawPrepared' = sawPrepared)
  fenced' = fenced and settled' = settled and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* A step whose hold this leader has taken away is not held again: that order may come late. */
pred doHold[l: Leader, s: Step] {
  s not in l.released
  l.sawPrepared = Rank and passesFence[l, l.holdAt]
  no World.held[l.holdAt] and ahead[s]
  World.held' = World.held ++ (l.holdAt -> s)
  World.fence' = World.fence ++ (l.holdAt -> l)
  current' = current and prepared' = prepared and armedMap' = armedMap
  armedStep' = armedStep and begun' = begun
  (sawHeld' = sawHeld + l -> s or sawHeld' = sawHeld)
  fenced' = fenced and settled' = settled and sawPrepared' = sawPrepared
  sawArmed' = sawArmed and released' = released
}

pred doArm[l: Leader, r: Rank, s: Step] {
  s in l.sawHeld or (some NoHold and l.sawPrepared = Rank)
  passesFence[l, r] and World.prepared[r] = l and ahead[s]
  no World.armedMap[r] or World.armedStep[r] = s
  World.armedMap' = World.armedMap ++ (r -> l)
  World.armedStep' = World.armedStep ++ (r -> s)
  World.fence' = World.fence ++ (r -> l)
  current' = current and prepared' = prepared and held' = held and begun' = begun
  (sawArmed' = sawArmed + l -> r -> s or sawArmed' = sawArmed)
  fenced' = fenced and settled' = settled and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and released' = released
}

pred mayRelease[l: Leader, s: Step] {
  s in l.released
  or (s in l.sawHeld and (some SomeArmed implies some l.sawArmed.s else l.sawArmed.s = Rank))
}

pred doRelease[l: Leader, r: Rank, s: Step] {
  mayRelease[l, s] and passesFence[l, r] and World.held[r] = s
  World.held' = World.held - r -> s
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  fence' = fence and begun' = begun
  leaders_unchanged
}

/* The group begins its next step; ranks that are armed for it switch. */
pred pass[s: Step] {
  s = (no World.begun implies order/first else World.begun.next)
  s not in Rank.(World.held)
  World.begun' = s
  let switching = World.armedStep.s | {
    World.current' = World.current ++ (switching <: World.armedMap)
    World.armedMap' = World.armedMap - switching -> Leader
    World.armedStep' = World.armedStep - switching -> Step
  }
  prepared' = prepared and held' = held and fence' = fence
  leaders_unchanged
}

/* A rank is lost and the group forms anew. */
pred form {
  no current' and no prepared' and no armedMap' and no armedStep' and no held'
  fence' = fence and begun' = begun
  some NoEpoch implies leaders_unchanged else {
    no fenced' and no settled' and no sawPrepared' and no sawHeld' and no sawArmed' and no released'
  }
}

pred world_unchanged {
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  held' = held and fence' = fence and begun' = begun
}

pred leaders_unchanged {
  fenced' = fenced and settled' = settled and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and sawArmed' = sawArmed and released' = released
}

pred stutter { world_unchanged and leaders_unchanged }

pred step {
  stutter or form
  or (some s: Step | pass[s])
  or (some l: Leader | settle[l]
    or (some r: Rank | doFence[l, r] or disarm[l, r] or doPrepare[l, r])
    or (some s: Step | readHoldOnly[l, s] or doHold[l, s])
    or (some r: Rank, s: Step | doArm[l, r, s] or doRelease[l, r, s]))
}

fact traces {
  init
  always step
}

pred oneMap {
  always (all r, q: Rank | World.current[r] = World.current[q])
}

assert OneMapAStep { no Defect implies oneMap }
check OneMapAStep for 2 but 2 Step, 11 steps

/* The map can change at all, also under a second leader. */
pred changes {
  no Defect
  eventually (some l: Leader | l != tokens/first and World.current = Rank -> l)
}
run changes for 2 but 2 Step, 12 steps

assert MutantNoFence { Defect = NoFence implies oneMap }
check MutantNoFence for 2 but 2 Step, 13 steps

assert MutantNoHold { Defect = NoHold implies oneMap }
check MutantNoHold for 2 but 2 Step, 10 steps

assert MutantSomeArmed { Defect = SomeArmed implies oneMap }
check MutantSomeArmed for 2 but 2 Step, 10 steps

assert MutantNoEpoch { Defect = NoEpoch implies oneMap }
check MutantNoEpoch for 2 but 2 Step, 12 steps
