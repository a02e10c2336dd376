/*
 * Change of the expert map of a rank group: in every step all ranks use the same map, however late
 * the commands to the ranks are carried out.
 *
 * Once a leader has observed what a command requires, the command may be carried out at any later
 * time and any number of times, whether the leader still runs, is paused or has been replaced.
 * Replies may be lost, so a command may also be carried out without its leader observing that.
 * Engines refuse all commands of an earlier epoch, so a new epoch is modelled by clearing what the
 * leaders have observed.
 */
module expertmap

open util/ordering[Leader] as tokens
open util/ordering[Step] as order

sig Rank {}

/* A leader, which also stands for its fencing token, its one planned map and that map's version. */
sig Leader {
  /* The rank at which it holds a step. */
  holdAt: one Rank,
  /* Ranks that it has fenced against leaders with lower tokens. */
  var fenced: set Rank,
  /* Set once it has seen that no change of map is unfinished. */
  var settled: lone World,
  /* What it has seen of its commands: ranks prepared, steps held, ranks armed for a step. */
  var sawPrepared: set Rank,
  var sawHeld: set Step,
  var sawArmed: Rank -> Step,
  /* Steps held by an earlier leader that it may release, because it saw no rank armed. */
  var released: set Step
}

sig Step {}

/* The state of all engines of the group. */
one sig World {
  /* The map in use; empty while the rank uses the initial map. */
  var current: Rank -> lone Leader,
  var prepared: Rank -> lone Leader,
  var armedMap: Rank -> lone Leader,
  var armedStep: Rank -> lone Step,
  var held: Rank -> lone Step,
  /* The fencing token against which each engine checks commands. */
  var fence: Rank -> lone Leader,
  /* The last step that the group has begun. */
  var begun: lone Step
}

/*
 * The rule that a mutant breaks. NoFence: engines check fencing tokens. NoHold: a rank is armed
 * only after the step was seen held. SomeArmed: a step is released only after all ranks were seen
 * armed. NoEpoch: engines refuse commands of an earlier epoch.
 */
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

/* The group has not begun the step yet. */
pred ahead[s: Step] { no World.begun or gt[s, World.begun] }

/* A rank accepts a command that only raises its fencing token, and the leader observes it. */
pred doFence[l: Leader, r: Rank] {
  passesFence[l, r]
  World.fence' = World.fence ++ (r -> l)
  fenced' = fenced + l -> r
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  held' = held and begun' = begun
  settled' = settled and sawPrepared' = sawPrepared and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* A leader that has fenced all ranks reads that nothing is armed or held: recovery is complete. */
pred settle[l: Leader] {
  l.fenced = Rank
  no World.armedMap and no World.held
  settled' = settled + l -> World
  world_unchanged
  fenced' = fenced and sawPrepared' = sawPrepared and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* A recovering leader reads that a step is held and nothing is armed: it may release the step. */
pred readHoldOnly[l: Leader, s: Step] {
  l.fenced = Rank and no l.settled
  no World.armedMap and s in Rank.(World.held)
  released' = released + l -> s
  world_unchanged
  fenced' = fenced and settled' = settled and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and sawArmed' = sawArmed
}

/* A recovering leader disarms a rank that an earlier leader armed. */
pred disarm[l: Leader, r: Rank] {
  l.fenced = Rank and no l.settled and passesFence[l, r]
  World.armedMap' = World.armedMap - r -> Leader
  World.armedStep' = World.armedStep - r -> Step
  current' = current and prepared' = prepared and held' = held and fence' = fence and begun' = begun
  leaders_unchanged
}

/* A rank fetches a map of a higher version than its prepared and its current map. */
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

/*
 * A rank holds a step. The leader never holds one that it may release in recovery, because that
 * release may be carried out late.
 */
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

/* Arms a rank for a step that the leader has seen held. */
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

/* A leader releases a step if recovery found no rank armed, or once it has seen all ranks armed. */
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

/* The group begins its next step, unless a rank holds it; ranks armed for the step switch maps. */
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

/* A rank is lost and the group forms again under a new epoch, with the initial map. */
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

/* The protocol allows the map to change, also under a second leader. */
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
