//! Requests that wait for an engine of one pool, in fair order.

use std::collections::{BTreeMap, VecDeque};

use slotmap::SlotMap;

use super::Class;
use crate::{Instant, TeamName};

/// Most requests that wait for one pool at one router.
pub const MAX_WAITING: usize = 512;

/// Most requests of one team that wait for one pool at one router.
pub const MAX_WAITING_PER_TEAM: usize = 256;

/// Interactive requests served in a row while drafts wait.
const INTERACTIVE_RUN: u32 = 4;

slotmap::new_key_type! {
    /// Identity of a waiting request.
    pub struct WaitId;
}

/// The queue has no room for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Enqueued {
    /// The request that has entered.
    pub id: WaitId,
    /// The request of a longer line that had to make room.
    pub evicted: Option<WaitId>,
}

/// Who asks to wait, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct QueueEntry<'a> {
    /// Team of the request.
    pub team: &'a TeamName,
    /// Weight of the team.
    pub share: u32,
    /// How soon the answer is needed.
    pub class: Class,
    /// When the wait ends in a refusal.
    pub deadline: Instant,
}

/// The requests that wait for one pool.
///
/// One of them at a time holds the turn: the right to ask for a slot. Turns go to the
/// teams of a class in proportion to their shares, and to drafts at least once in five
/// turns.
///
/// # Examples
///
/// ```
/// use ebonyspur::admission::{QueueEntry, Class, FairQueue};
/// use ebonyspur::{Instant, TeamName};
///
/// let team = TeamName::new("kerb")?;
/// let deadline = Instant::from_millis(500);
/// let mut queue = FairQueue::new();
/// let applicant = QueueEntry { team: &team, share: 1, class: Class::Draft, deadline };
/// let entered = queue.enqueue(applicant).expect("room");
/// assert_eq!(queue.grant_turn(Instant::from_millis(10)), Some(entered.id));
/// # Ok::<(), ebonyspur::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: SlotMap<WaitId, Waiting>,
    interactive: ClassQueue,
    draft: ClassQueue,
    turn: Option<WaitId>,
    interactive_run: u32,
}

#[derive(Debug)]
struct Waiting {
    team: TeamName,
    class: Class,
    deadline: Instant,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        FairQueue::default()
    }

    /// Adds a request at the end of its team's line.
    ///
    /// In a full queue the longest line for its share gives up its newest request,
    /// unless that line is the applicant's own.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] when there is no room.
    pub fn enqueue(&mut self, applicant: QueueEntry<'_>) -> Result<Enqueued, QueueFull> {
        let QueueEntry { team, share, .. } = applicant;
        if self.waiting_of(team) >= MAX_WAITING_PER_TEAM {
            return Err(QueueFull);
        }
        let mut evicted = None;
        if self.waiting.len() >= MAX_WAITING {
            let victim = self.newest_of_longest(team, share).ok_or(QueueFull)?;
            self.remove(victim);
            evicted = Some(victim);
        }
        let id = self.waiting.insert(Waiting {
            team: team.clone(),
            class: applicant.class,
            deadline: applicant.deadline,
        });
        self.lane(applicant.class).push(team, share, id);
        Ok(Enqueued { id, evicted })
    }

    fn waiting_of(&self, team: &TeamName) -> usize {
        self.interactive.waiting_of(team) + self.draft.waiting_of(team)
    }

    /// Returns the request to evict for `team`, `None` when `team` has the longest line.
    fn newest_of_longest(&self, team: &TeamName, share: u32) -> Option<WaitId> {
        let flows = self.interactive.flows.iter().chain(&self.draft.flows);
        let weighted = |len: usize, share: u32| len as f64 / f64::from(share.max(1));
        let (name, longest) = flows.max_by(|(_, a), (_, b)| {
            let len = |flow: &Flow| weighted(flow.waiting.len(), flow.share);
            len(a).total_cmp(&len(b))
        })?;
        let length = weighted(longest.waiting.len(), longest.share);
        let own = weighted(self.waiting_of(team) + 1, share);
        if name == team || length <= own {
            return None;
        }
        longest.waiting.back().copied()
    }

    /// Gives the turn to the request that is due, unless another one holds it.
    ///
    /// Requests whose deadline has passed are never due.
    pub fn grant_turn(&mut self, now: Instant) -> Option<WaitId> {
        if self.turn.is_some() {
            return None;
        }
        self.expire(now);
        let class = self.due_class();
        self.turn = self.lane(class).head();
        self.turn
    }

    fn due_class(&self) -> Class {
        let draft_due = self.interactive_run >= INTERACTIVE_RUN && self.draft.head().is_some();
        if draft_due || self.interactive.head().is_none() {
            Class::Draft
        } else {
            Class::Interactive
        }
    }

    /// Takes the turn back from a request that found no slot; it keeps its place.
    pub fn yield_turn(&mut self, id: WaitId) {
        if self.turn == Some(id) {
            self.turn = None;
        }
    }

    /// Removes a request that got a slot, at the expense of its team's turns.
    pub fn remove_placed(&mut self, id: WaitId) {
        let Some(waiting) = self.waiting.get(id) else {
            return;
        };
        let (class, team) = (waiting.class, waiting.team.clone());
        self.interactive_run = match class {
            Class::Interactive => self.interactive_run.saturating_add(1),
            Class::Draft => 0,
        };
        self.remove(id);
        self.lane(class).charge(&team);
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, id: WaitId) {
        self.yield_turn(id);
        if let Some(waiting) = self.waiting.remove(id) {
            self.lane(waiting.class).remove(&waiting.team, id);
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitId> {
        let late = self.waiting.iter().filter(|(_, w)| w.deadline <= now);
        let late: Vec<_> = late.map(|(id, _)| id).collect();
        for id in &late {
            self.remove(*id);
        }
        late
    }

    /// Returns whether the request still waits.
    pub fn contains(&self, id: WaitId) -> bool {
        self.waiting.contains_key(id)
    }

    /// Returns whether the request holds the turn.
    pub fn has_turn(&self, id: WaitId) -> bool {
        self.turn == Some(id)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn lane(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Draft => &mut self.draft,
        }
    }
}

/// The waiting requests of one class, by stride scheduling over the teams.
#[derive(Debug, Default)]
struct ClassQueue {
    served: f64,
    flows: BTreeMap<TeamName, Flow>,
}

/// The line of one team; the line with the lowest `start` is due.
#[derive(Debug, Default)]
struct Flow {
    share: u32,
    start: f64,
    waiting: VecDeque<WaitId>,
}

impl ClassQueue {
    fn push(&mut self, team: &TeamName, share: u32, id: WaitId) {
        let flow = self.flows.entry(team.clone()).or_default();
        flow.share = share.max(1);
        // An idle team saves up no turns.
        if flow.waiting.is_empty() {
            flow.start = flow.start.max(self.served);
        }
        flow.waiting.push_back(id);
    }

    fn head(&self) -> Option<WaitId> {
        let flows = self.flows.values().filter(|flow| !flow.waiting.is_empty());
        let due = flows.min_by(|a, b| a.start.total_cmp(&b.start))?;
        due.waiting.front().copied()
    }

    fn charge(&mut self, team: &TeamName) {
        if let Some(flow) = self.flows.get_mut(team) {
            self.served = self.served.max(flow.start);
            flow.start += 1.0 / f64::from(flow.share);
        }
        self.forget_idle();
    }

    fn remove(&mut self, team: &TeamName, id: WaitId) {
        if let Some(flow) = self.flows.get_mut(team) {
            flow.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// Drops teams that wait for nothing and have no turns to make up for.
    fn forget_idle(&mut self) {
        let served = self.served;
        let keep = |flow: &Flow| !flow.waiting.is_empty() || flow.start > served;
        self.flows.retain(|_, flow| keep(flow));
    }

    fn waiting_of(&self, team: &TeamName) -> usize {
        self.flows.get(team).map_or(0, |flow| flow.waiting.len())
    }
}
