/**
 * @fileoverview The newest lease that a router has of one limit.
 *
 * A lease counts from the sending of its request, by the monotonic clock. That
 * clock stands still while the machine is suspended, so time by which the wall
 * clock gets ahead of it counts as well. Only time is added: a wall clock that is
 * set back extends no lease, and one that ended doesn't come back.
 */
import {type LimitLease} from '@dogwoodtrestle/schema';

/** When a lease was requested. Both clocks count, in milliseconds. */
export interface LeaseRequestTime {
  /** By the monotonic clock, which stands still while a machine is suspended. */
  sentAt: number;
  /** By the wall clock. */
  wallSentAt: number;
}

/** Drift of the clocks within a lease; a wall clock that falls behind was set. */
const driftMilliseconds = 100;

/** A lease, and for how long the machine may have been suspended since. */
interface LeaseState extends LimitLease, LeaseRequestTime {
  /** Wall time less monotonic time, from which suspensions show. */
  wallOffset: number;
  suspended: number;
  /** The part of `suspended` from before the wall clock was set. */
  suspendedBefore: number;
}

/** A lease that others replace. Times in milliseconds. */
export class HeldLease {
  private state?: LeaseState;

  /** @param wallNow Returns the time by the wall clock. */
  constructor(private readonly wallNow: () => number) {}

  /** The newest lease, including one that has ended. */
  get newest(): (LimitLease & LeaseRequestTime) | undefined {
    return this.state;
  }

  /**
   * Replaces the lease, unless the new one came in the reply to an earlier call, or
   * was issued earlier by the same leader.
   *
   * @returns Whether it was replaced.
   */
  replace(lease: LimitLease, {sentAt, wallSentAt}: LeaseRequestTime): boolean {
    const {state} = this;
    if (state !== undefined) {
      const isEarlier = sentAt < state.sentAt;
      if (isEarlier || isOlderLease(lease.id, state.id)) return false;
    }
    this.state = {
      ...lease,
      sentAt,
      wallSentAt,
      wallOffset: wallSentAt - sentAt,
      suspended: 0,
      suspendedBefore: 0,
    };
    return true;
  }

  /** Returns the part of the limit that is leased now. */
  share(now: number): number {
    const {state} = this;
    if (state === undefined) return 0;
    this.recordSuspension(state, now);
    const age = now - state.sentAt + state.suspended;
    return age < state.milliseconds ? state.share : 0;
  }

  private recordSuspension(state: LeaseState, now: number): void {
    const gain = this.wallNow() - now - state.wallOffset;
    if (gain < -driftMilliseconds) {
      state.wallOffset += gain;
      state.suspendedBefore = state.suspended;
      return;
    }
    const suspended = state.suspendedBefore + gain;
    state.suspended = Math.max(state.suspended, suspended);
  }
}

/**
 * Whether a lease was issued before another one of the same leader; replies may
 * overtake each other. Leases of different leaders have no order.
 */
function isOlderLease(id: string, other: string): boolean {
  const [epoch, number] = splitLeaseId(id);
  const [otherEpoch, otherNumber] = splitLeaseId(other);
  return epoch === otherEpoch && number < otherNumber;
}

/** Splits the id of a lease, `EPOCH:NUMBER`. */
function splitLeaseId(id: string): [epoch: string, number: number] {
  const end = id.lastIndexOf(':');
  return [id.slice(0, end), Number(id.slice(end + 1))];
}
