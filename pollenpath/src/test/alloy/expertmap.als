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
open util/ordering[Step] as stepOrder

/* The ranks form a cycle; the one before the rank that holds a step is armed last for it. */
sig Rank { next: one Rank }

fact cycle { all r: Rank | Rank in r.^next }

fun lastRank[holding: Rank]: set Rank { next.holding }

/* A leader, which also stands for its fencing token, its one planned map and that map's version. */
sig Leader {
  /* The rank at which it holds a step. */
  holdRank: one Rank,
  /* Ranks that it has fenced against leaders with lower tokens. */
  var fenced: set Rank,
  /* Set once it has seen that no change of map is unfinished. */
  var recovered: lone GroupState,
  /* What it has seen of its commands: ranks prepared, steps held, ranks armed for a step. */
  var sawPrepared: set Rank,
  var sawHeld: set Step,
  var sawArmed: Rank -> Step,
  /* Steps held by an earlier leader that it may release, because it saw no rank armed. */
  var released: set Step
}

sig Step {}

/* The state of all engines of the group. */
one sig GroupState {
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
 * armed. NoEpoch: engines refuse commands of an earlier epoch. AnyOrder: the last rank is armed
 * only after all others were seen armed.
 */
abstract sig Defect {}
lone sig NoFence, NoHold, SomeArmed, NoEpoch, AnyOrder extends Defect {}

pred init {
  no fenced and no recovered and no sawPrepared and no sawHeld and no sawArmed and no released
  no current and no prepared and no armedMap and no armedStep and no held and no fence and no begun
}

fun fenceOf[r: Rank]: lone Leader { GroupState.fence[r] }

pred passesFence[l: Leader, r: Rank] {
  some NoFence or no fenceOf[r] or gte[l, fenceOf[r]]
}

/* The group has not begun the step yet. */
pred notBegun[s: Step] { no GroupState.begun or gt[s, GroupState.begun] }

/* A rank accepts a command that only raises its fencing token, and the leader observes it. */
pred doFence[l: Leader, r: Rank] {
  passesFence[l, r]
  GroupState.fence' = GroupState.fence ++ (r -> l)
  fenced' = fenced + l -> r
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  held' = held and begun' = begun
  recovered' = recovered and sawPrepared' = sawPrepared and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* A leader that has fenced all ranks reads that nothing is armed or held: recovery is complete. */
pred recover[l: Leader] {
  l.fenced = Rank
  no GroupState.armedMap and no GroupState.held
  recovered' = recovered + l -> GroupState
  group_unchanged
  fenced' = fenced and sawPrepared' = sawPrepared and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/* A recovering leader reads that a step is held and nothing is armed: it may release the step. */
pred readHoldOnly[l: Leader, s: Step] {
  l.fenced = Rank and no l.recovered
  no GroupState.armedMap and s in Rank.(GroupState.held)
  released' = released + l -> s
  group_unchanged
  fenced' = fenced and recovered' = recovered and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and sawArmed' = sawArmed
}

/*
 * A rank is unreachable. All others are fenced and have fetched one map, and a step is held for
 * which the unreachable rank is armed last.
 */
pred undoableWithout[l: Leader, missing: Rank] {
  no l.recovered
  some Rank - missing and Rank - missing in l.fenced
  some m: Leader | all r: Rank - missing | GroupState.prepared[r] = m
  some (Rank - missing).(GroupState.held)
  all r: Rank - missing | some GroupState.held[r] implies lastRank[r] = missing
}

/* A recovering leader disarms a rank without the unreachable one, as another is not armed. */
pred disarmWithout[l: Leader, missing: Rank, r: Rank] {
  undoableWithout[l, missing] and r != missing and passesFence[l, r]
  some q: Rank - missing | no GroupState.armedMap[q]
  GroupState.armedMap' = GroupState.armedMap - r -> Leader
  GroupState.armedStep' = GroupState.armedStep - r -> Step
  current' = current and prepared' = prepared and held' = held and fence' = fence and begun' = begun
  leaders_unchanged
}

/* A recovering leader reads that a step is held and no reachable rank is armed. */
pred readHoldWithout[l: Leader, missing: Rank, s: Step] {
  undoableWithout[l, missing]
  no (Rank - missing).(GroupState.armedMap)
  s in (Rank - missing).(GroupState.held)
  released' = released + l -> s
  group_unchanged
  fenced' = fenced and recovered' = recovered and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and sawArmed' = sawArmed
}

/* A recovering leader disarms a rank that an earlier leader armed. */
pred disarm[l: Leader, r: Rank] {
  l.fenced = Rank and no l.recovered and passesFence[l, r]
  GroupState.armedMap' = GroupState.armedMap - r -> Leader
  GroupState.armedStep' = GroupState.armedStep - r -> Step
  current' = current and prepared' = prepared and held' = held and fence' = fence and begun' = begun
  leaders_unchanged
}

/* A rank fetches a map of a higher version than its prepared and its current map. */
pred doPrepare[l: Leader, r: Rank] {
  some l.recovered and passesFence[l, r]
  no GroupState.armedMap[r]
  no GroupState.prepared[r] or gt[l, GroupState.prepared[r]]
  no GroupState.current[r] or gt[l, GroupState.current[r]]
  GroupState.prepared' = GroupState.prepared ++ (r -> l)
  GroupState.fence' = GroupState.fence ++ (r -> l)
  current' = current and armedMap' = armedMap and armedStep' = armedStep
  held' = held and begun' = begun
  (sawPrepared' = sawPrepared + l -> r or sawPrepared' = sawPrepared)
  fenced' = fenced and recovered' = recovered and sawHeld' = sawHeld
  sawArmed' = sawArmed and released' = released
}

/*
 * A rank holds a step. The leader never holds one that it may release in recovery, because that
 * release may be carried out late.
 */
pred doHold[l: Leader, s: Step] {
  s not in l.released
  l.sawPrepared = Rank and passesFence[l, l.holdRank]
  no GroupState.held[l.holdRank] and notBegun[s]
  GroupState.held' = GroupState.held ++ (l.holdRank -> s)
  GroupState.fence' = GroupState.fence ++ (l.holdRank -> l)
  current' = current and prepared' = prepared and armedMap' = armedMap
  armedStep' = armedStep and begun' = begun
  (sawHeld' = sawHeld + l -> s or sawHeld' = sawHeld)
  fenced' = fenced and recovered' = recovered and sawPrepared' = sawPrepared
  sawArmed' = sawArmed and released' = released
}

/* Arms a rank for a step that the leader has seen held. */
pred doArm[l: Leader, r: Rank, s: Step] {
  s in l.sawHeld or (some NoHold and l.sawPrepared = Rank)
  r in lastRank[l.holdRank] and no AnyOrder implies Rank - r in l.sawArmed.s
  passesFence[l, r] and GroupState.prepared[r] = l and notBegun[s]
  no GroupState.armedMap[r] or GroupState.armedStep[r] = s
  GroupState.armedMap' = GroupState.armedMap ++ (r -> l)
  GroupState.armedStep' = GroupState.armedStep ++ (r -> s)
  GroupState.fence' = GroupState.fence ++ (r -> l)
  current' = current and prepared' = prepared and held' = held and begun' = begun
  (sawArmed' = sawArmed + l -> r -> s or sawArmed' = sawArmed)
  fenced' = fenced and recovered' = recovered and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and released' = released
}

/* A leader releases a step if recovery found no rank armed, or once it has seen all ranks armed. */
pred mayRelease[l: Leader, s: Step] {
  s in l.released
  or (s in l.sawHeld and (some SomeArmed implies some l.sawArmed.s else l.sawArmed.s = Rank))
}

pred doRelease[l: Leader, r: Rank, s: Step] {
  mayRelease[l, s] and passesFence[l, r] and GroupState.held[r] = s
  GroupState.held' = GroupState.held - r -> s
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  fence' = fence and begun' = begun
  leaders_unchanged
}

/* The group begins its next step, unless a rank holds it; ranks armed for the step switch maps. */
pred beginStep[s: Step] {
  s = (no GroupState.begun implies stepOrder/first else GroupState.begun.next)
  s not in Rank.(GroupState.held)
  GroupState.begun' = s
  let switching = GroupState.armedStep.s | {
    GroupState.current' = GroupState.current ++ (switching <: GroupState.armedMap)
    GroupState.armedMap' = GroupState.armedMap - switching -> Leader
    GroupState.armedStep' = GroupState.armedStep - switching -> Step
  }
  prepared' = prepared and held' = held and fence' = fence
  leaders_unchanged
}

/* A rank is lost and the group forms again under a new epoch, with the initial map. */
pred formGroup {
  no current' and no prepared' and no armedMap' and no armedStep' and no held'
  fence' = fence and begun' = begun
  some NoEpoch implies leaders_unchanged else {
    no fenced' and no recovered' and no sawPrepared' and no sawHeld' and no sawArmed'
    and no released'
  }
}

pred group_unchanged {
  current' = current and prepared' = prepared and armedMap' = armedMap and armedStep' = armedStep
  held' = held and fence' = fence and begun' = begun
}

pred leaders_unchanged {
  fenced' = fenced and recovered' = recovered and sawPrepared' = sawPrepared
  sawHeld' = sawHeld and sawArmed' = sawArmed and released' = released
}

pred stutter { group_unchanged and leaders_unchanged }

pred step {
  stutter or formGroup
  or (some s: Step | beginStep[s])
  or (some l: Leader | recover[l]
    or (some r: Rank | doFence[l, r] or disarm[l, r] or doPrepare[l, r])
    or (some s: Step | readHoldOnly[l, s] or doHold[l, s])
    or (some missing, r: Rank | disarmWithout[l, missing, r])
    or (some missing: Rank, s: Step | readHoldWithout[l, missing, s])
    or (some r: Rank, s: Step | doArm[l, r, s] or doRelease[l, r, s]))
}

fact traces {
  init
  always step
}

pred sameMapOnAllRanks {
  always (all r, q: Rank | GroupState.current[r] = GroupState.current[q])
}

assert OneMapPerStep { no Defect implies sameMapOnAllRanks }
check OneMapPerStep for 2 but 2 Step, 11 steps

/* The protocol allows the map to change, also under a second leader. */
pred changes {
  no Defect
  eventually (some l: Leader | l != tokens/first and GroupState.current = Rank -> l)
}
run changes for 2 but 2 Step, 12 steps

assert MutantNoFence { Defect = NoFence implies sameMapOnAllRanks }
check MutantNoFence for 2 but 2 Step, 13 steps

assert MutantNoHold { Defect = NoHold implies sameMapOnAllRanks }
check MutantNoHold for 2 but 2 Step, 10 steps

assert MutantSomeArmed { Defect = SomeArmed implies sameMapOnAllRanks }
check MutantSomeArmed for 2 but 2 Step, 10 steps

assert MutantNoEpoch { Defect = NoEpoch implies sameMapOnAllRanks }
check MutantNoEpoch for 2 but 2 Step, 12 steps

assert MutantAnyOrder { Defect = AnyOrder implies sameMapOnAllRanks }
check MutantAnyOrder for 2 but 2 Step, 12 steps

/* A step that is held is released while a rank is unreachable. */
pred releasedWithout {
  no Defect
  eventually (some l: Leader, r: Rank, s: Step | readHoldWithout[l, r, s])
}
run releasedWithout for 2 but 2 Step, 12 steps
