//! Fair queue of the requests that wait for an engine of one pool.

use std::collections::{BTreeMap, VecDeque};

use slotmap::SlotMap;

use super::Class;
use crate::{Instant, TeamName};

/// Maximum number of requests that wait for one pool at one router.
pub const MAX_WAITING: usize = 512;

/// Maximum number of requests of one team that wait for one pool at one router.
pub const MAX_WAITING_PER_TEAM: usize = 256;

/// Maximum number of interactive requests served in a row while drafts wait.
const MAX_INTERACTIVE_RUN: u32 = 4;

slotmap::new_key_type! {
    /// Identity of a waiting request.
    pub struct WaitId;
}

/// Error of [`FairQueue::enqueue`]: the queue has no room for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Result of [`FairQueue::enqueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Enqueued {
    /// Identity of the added request.
    pub id: WaitId,
    /// Request of another team that was evicted to make room.
    pub evicted: Option<WaitId>,
}

/// A request to add to the queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueEntry<'a> {
    /// Team of the request.
    pub team: &'a TeamName,
    /// Weight of the team.
    pub share: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Time at which a request that still waits is refused.
    pub deadline: Instant,
}

/// Fair queue of the requests that wait for one pool.
///
/// One request at a time holds the turn: the right to ask for a slot. Turns go to the
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
/// let entry = QueueEntry { team: &team, share: 1, class: Class::Draft, deadline };
/// let enqueued = queue.enqueue(entry).expect("room");
/// assert_eq!(queue.grant_turn(Instant::from_millis(10)), Some(enqueued.id));
/// # Ok::<(), ebonyspur::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: SlotMap<WaitId, Waiting>,
    interactive: ClassQueue,
    draft: ClassQueue,
    turn: Option<WaitId>,
    /// Interactive requests served since the last draft.
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

    /// Adds a request at the end of its team's queue.
    ///
    /// When the fair queue is full, the newest request of the team queue that is longest
    /// relative to its share is evicted, unless that queue belongs to the same team.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] when the limit of the team or of the queue is reached.
    pub fn enqueue(&mut self, entry: QueueEntry<'_>) -> Result<Enqueued, QueueFull> {
        let QueueEntry { team, share, .. } = entry;
        if self.waiting_count(team) >= MAX_WAITING_PER_TEAM {
            return Err(QueueFull);
        }
        let mut evicted = None;
        if self.waiting.len() >= MAX_WAITING {
            let victim = self.find_eviction(team, share).ok_or(QueueFull)?;
            self.remove(victim);
            evicted = Some(victim);
        }
        let id = self.waiting.insert(Waiting {
            team: team.clone(),
            class: entry.class,
            deadline: entry.deadline,
        });
        self.class_queue(entry.class).push(team, share, id);
        Ok(Enqueued { id, evicted })
    }

    fn waiting_count(&self, team: &TeamName) -> usize {
        self.interactive.waiting_count(team) + self.draft.waiting_count(team)
    }

    /// Returns the request to evict for `team`, or `None` when `team` has the longest queue.
    fn find_eviction(&self, team: &TeamName, share: u32) -> Option<WaitId> {
        let teams = self.interactive.teams.iter().chain(&self.draft.teams);
        let weighted = |len: usize, share: u32| len as f64 / f64::from(share.max(1));
        let (name, longest) = teams.max_by(|(_, a), (_, b)| {
            let weighted_len =
                |team_queue: &TeamQueue| weighted(team_queue.waiting.len(), team_queue.share);
            weighted_len(a).total_cmp(&weighted_len(b))
        })?;
        let longest_len = weighted(longest.waiting.len(), longest.share);
        let own_len = weighted(self.waiting_count(team) + 1, share);
        if name == team || longest_len <= own_len {
            return None;
        }
        longest.waiting.back().copied()
    }

    /// Removes and returns the request that comes last, if it comes later than a new one of `team`
    /// would.
    pub fn displace_for(&mut self, team: &TeamName) -> Option<WaitId> {
        let new_tag = self.interactive.next_tag(team);
        let victim = self.interactive.last().filter(|(tag, _)| *tag > new_tag);
        victim.map(|(_, id)| {
            self.remove(id);
            id
        })
    }

    /// Removes and returns the request that comes last.
    pub fn displace_last(&mut self) -> Option<WaitId> {
        let (_, id) = self.interactive.last()?;
        self.remove(id);
        Some(id)
    }

    /// Gives the turn to the next request in fair order, unless another one holds it.
    ///
    /// Requests whose deadline has passed are removed first.
    pub fn grant_turn(&mut self, now: Instant) -> Option<WaitId> {
        if self.turn.is_some() {
            return None;
        }
        self.expire(now);
        let class = self.due_class();
        self.turn = self.class_queue(class).head();
        self.turn
    }

    fn due_class(&self) -> Class {
        let draft_due = self.interactive_run >= MAX_INTERACTIVE_RUN && self.draft.head().is_some();
        if draft_due || self.interactive.head().is_none() {
            Class::Draft
        } else {
            Class::Interactive
        }
    }

    /// Takes the turn back from a request that found no slot; the request keeps its place.
    pub fn yield_turn(&mut self, id: WaitId) {
        if self.turn == Some(id) {
            self.turn = None;
        }
    }

    /// Removes a request that got a slot, and charges its team for the turn.
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
        self.class_queue(class).charge(&team);
    }

    /// Removes a request that got no slot.
    pub fn remove(&mut self, id: WaitId) {
        self.yield_turn(id);
        if let Some(waiting) = self.waiting.remove(id) {
            self.class_queue(waiting.class).remove(&waiting.team, id);
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<WaitId> {
        let expired = self.waiting.iter().filter(|(_, w)| w.deadline <= now);
        let expired: Vec<_> = expired.map(|(id, _)| id).collect();
        for id in &expired {
            self.remove(*id);
        }
        expired
    }

    /// Returns whether the request is in the queue.
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

    fn class_queue(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Draft => &mut self.draft,
        }
    }
}

/// The waiting requests of one priority class, ordered by stride scheduling over the teams.
#[derive(Debug, Default)]
struct ClassQueue {
    /// Highest start tag of a team at the time it was served.
    virtual_time: f64,
    teams: BTreeMap<TeamName, TeamQueue>,
}

/// The waiting requests of one team; the team with the lowest `start_tag` is served next.
#[derive(Debug, Default)]
struct TeamQueue {
    share: u32,
    /// Virtual time at which the next request of the team is due.
    start_tag: f64,
    waiting: VecDeque<WaitId>,
}

impl TeamQueue {
    /// Returns the virtual time at which the request at `position` is due.
    fn tag_at(&self, position: usize) -> f64 {
        self.start_tag + position as f64 / f64::from(self.share.max(1))
    }
}

impl ClassQueue {
    fn push(&mut self, team: &TeamName, share: u32, id: WaitId) {
        let team_queue = self.teams.entry(team.clone()).or_default();
        team_queue.share = share.max(1);
        // A team does not accumulate turns while it has no waiting requests.
        if team_queue.waiting.is_empty() {
            team_queue.start_tag = team_queue.start_tag.max(self.virtual_time);
        }
        team_queue.waiting.push_back(id);
    }

    fn head(&self) -> Option<WaitId> {
        let teams = self
            .teams
            .values()
            .filter(|team_queue| !team_queue.waiting.is_empty());
        let due = teams.min_by(|a, b| a.start_tag.total_cmp(&b.start_tag))?;
        due.waiting.front().copied()
    }

    /// Returns the virtual time at which a new request of `team` is due.
    fn next_tag(&self, team: &TeamName) -> f64 {
        let queue = self.teams.get(team);
        queue.map_or(self.virtual_time, |queue| queue.tag_at(queue.waiting.len()))
    }

    /// Returns the request that is due last and the virtual time at which it is.
    fn last(&self) -> Option<(f64, WaitId)> {
        let last = |queue: &TeamQueue| {
            let id = queue.waiting.back()?;
            Some((queue.tag_at(queue.waiting.len() - 1), *id))
        };
        let lasts = self.teams.values().filter_map(last);
        lasts.max_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    fn charge(&mut self, team: &TeamName) {
        if let Some(team_queue) = self.teams.get_mut(team) {
            self.virtual_time = self.virtual_time.max(team_queue.start_tag);
            team_queue.start_tag += 1.0 / f64::from(team_queue.share);
        }
        self.forget_idle();
    }

    fn remove(&mut self, team: &TeamName, id: WaitId) {
        if let Some(team_queue) = self.teams.get_mut(team) {
            team_queue.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// Removes teams without waiting requests whose start tag is not ahead of the virtual time.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        let keep = |team_queue: &TeamQueue| {
            !team_queue.waiting.is_empty() || team_queue.start_tag > virtual_time
        };
        self.teams.retain(|_, team_queue| keep(team_queue));
    }

    fn waiting_count(&self, team: &TeamName) -> usize {
        self.teams
            .get(team)
            .map_or(0, |team_queue| team_queue.waiting.len())
    }
}
