/**
 * @fileoverview Replicates the leader's log to one other replica.
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

/** Interface of the leadership that a replicator belongs to. */
export interface ReplicatorHost {
  readonly term: number;
  /** Number of the latest heartbeat round. */
  readonly round: number;
  readonly isEnded: boolean;
  /** Steps down and returns false if contact with a majority was lost. */
  checkQuorum(): boolean;
  /** Called after a reply, which may have advanced match indexes or rounds. */
  onProgress(): void;
}

/** Progress of one follower or learner; one message is in flight at a time. */
export class Replicator {
  matchIndex = 0;
  nextIndex: number;
  /** Latest heartbeat round that the replica answered. */
  confirmedRound = 0;
  /** Monotonic time in ms at which the latest answered message was sent. */
  lastContact: number;
  private inFlight = false;
  private isSendPending = false;
  private attempts = 0;
  private transfer?: SnapshotTransfer;

  constructor(
    readonly member: Member,
    private readonly state: ReplicaState,
    private readonly host: ReplicatorHost,
  ) {
    this.nextIndex = state.log.lastIndex + 1;
    this.lastContact = state.options.clock.now();
  }

  /** Sends pending entries now, or after the reply that is awaited. */
  send(): void {
    if (this.host.isEnded) return;
    if (this.inFlight) {
      this.isSendPending = true;
      return;
    }
    this.inFlight = true;
    this.isSendPending = false;
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
    // A reply that arrives after the timeout is still valid and is processed.
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
    // After a failure, the next heartbeat retries.
    if (succeeded && (this.isSendPending || this.isBehind)) this.send();
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
    // After a pause of the process, the leader must step down before it uses
    // replies that arrived during the pause.
    if (this.host.isEnded || !this.host.checkQuorum()) return;
    if (reply.kind !== 'append' && reply.kind !== 'snapshot') return;
    if (reply.term > this.host.term) {
      void this.state.becomeFollower(reply.term);
      return;
    }
    this.lastContact = Math.max(this.lastContact, sentAt);
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
      const decremented = Math.min(this.nextIndex - 1, reply.nextIndex);
      this.nextIndex = Math.max(this.matchIndex + 1, decremented, 1);
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
