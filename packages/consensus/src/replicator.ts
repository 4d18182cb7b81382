/**
 * @fileoverview Sends the leader's log to one other replica.
 */
import {
  type AppendReply,
  type ConsensusMessage,
  type ConsensusReply,
  type Member,
  type SnapshotReply,
} from '@dogwoodtrestle/schema';

import {type ReplicaState} from './replicaState.js';
import {SnapshotTransfer} from './snapshotTransfer.js';
import {withTimeout} from './util/withTimeout.js';

/** What a replicator needs to know of its leadership. */
export interface ReplicatorHost {
  readonly term: number;
  /** Number of the newest heartbeat round. */
  readonly round: number;
  readonly isEnded: boolean;
  /** Steps down and returns false when a majority is out of contact. */
  checkQuorum(): boolean;
  /** A replica answered; positions or rounds may have moved. */
  onProgress(): void;
}

/** Position of one follower or learner; one message is in flight at a time. */
export class Replicator {
  matchIndex = 0;
  nextIndex: number;
  /** Newest round that the replica answered. */
  confirmedRound = 0;
  /** Monotonic time at which the newest answered message was sent. */
  contact: number;
  private inFlight = false;
  private isWanted = false;
  private attempts = 0;
  private transfer?: SnapshotTransfer;

  constructor(
    readonly member: Member,
    private readonly state: ReplicaState,
    private readonly host: ReplicatorHost,
  ) {
    this.nextIndex = state.log.lastIndex + 1;
    this.contact = state.options.clock.now();
  }

  /** Sends everything that is pending now, or else right after the reply. */
  send(): void {
    if (this.host.isEnded) return;
    if (this.inFlight) {
      this.isWanted = true;
      return;
    }
    this.inFlight = true;
    this.isWanted = false;
    void this.exchange(++this.attempts).catch((error: unknown) =>
      this.state.fail(error),
    );
  }

  private async exchange(attempt: number): Promise<void> {
    const {clock, transport, messageTimeoutMilliseconds} = this.state.options;
    const message = this.appendMessage() ?? (await this.snapshotMessage());
    if (this.host.isEnded) return;
    const sentAt = clock.now();
    const {round} = this.host;
    const reply = transport.send(this.member, message);
    // A reply after the timeout still tells the truth, and is used.
    reply.then(
      value => this.receive(value, sentAt, round),
      () => undefined,
    );
    const succeeded = await withTimeout(
      reply,
      messageTimeoutMilliseconds,
      clock,
    ).then(
      ({kind}) => kind === message.kind,
      () => false,
    );
    if (attempt !== this.attempts) return;
    this.inFlight = false;
    // After a failure the next heartbeat tries again.
    if (succeeded && (this.isWanted || this.isBehind)) this.send();
  }

  private get isBehind(): boolean {
    return this.nextIndex <= this.state.log.lastIndex;
  }

  private appendMessage(): ConsensusMessage | undefined {
    const {log, id, self, commitIndex, options} = this.state;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex);
    if (previousTerm === undefined) return undefined;
    this.transfer = undefined;
    return {
      kind: 'append',
      from: id,
      to: this.member.id,
      term: this.host.term,
      leader: self,
      previousIndex,
      previousTerm,
      entries: log.slice(
        this.nextIndex,
        options.maxMessageEntries,
        options.maxMessageBytes,
      ),
      commitIndex,
    };
  }

  private async snapshotMessage(): Promise<ConsensusMessage> {
    const {id, self, options} = this.state;
    this.transfer ??= await SnapshotTransfer.open(this.state);
    return {
      kind: 'snapshot',
      from: id,
      to: this.member.id,
      term: this.host.term,
      leader: self,
      ...this.transfer.chunk(options.maxMessageBytes),
    };
  }

  private receive(reply: ConsensusReply, sentAt: number, round: number): void {
    // A frozen leader must notice before it uses what arrived meanwhile.
    if (this.host.isEnded || !this.host.checkQuorum()) return;
    if (reply.kind !== 'append' && reply.kind !== 'snapshot') return;
    if (reply.term > this.host.term) {
      void this.state.follow(reply.term);
      return;
    }
    this.contact = Math.max(this.contact, sentAt);
    this.confirmedRound = Math.max(this.confirmedRound, round);
    if (reply.kind === 'append') this.receiveAppend(reply);
    else this.receiveSnapshot(reply);
    this.host.onProgress();
  }

  private receiveAppend(reply: AppendReply): void {
    if (reply.success) {
      this.matchIndex = Math.max(this.matchIndex, reply.matchIndex);
      this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    } else {
      const earlier = Math.min(this.nextIndex - 1, reply.nextIndex);
      this.nextIndex = Math.max(this.matchIndex + 1, earlier, 1);
    }
  }

  private receiveSnapshot(reply: SnapshotReply): void {
    this.transfer?.seek(reply.nextOffset);
    if (reply.matchIndex === 0) return;
    this.transfer = undefined;
    this.matchIndex = Math.max(this.matchIndex, reply.matchIndex);
    this.nextIndex = this.matchIndex + 1;
  }
}
