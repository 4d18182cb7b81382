/**
 * @fileoverview Election with pre-vote.
 */
import {
  type Member,
  type VoteReply,
  type VoteRequest,
} from '@dogwoodtrestle/schema';

import {type ReplicaState} from './replicaState.js';
import {majorityOf} from './util/quorum.js';
import {withTimeout} from './util/withTimeout.js';

type Ballot = Pick<VoteRequest, 'term' | 'preVote' | 'transfer'>;

/** Factor by which a campaign that failed stretches the times of the next. */
const backoffFactor = 1.6;

/** Most that the times are stretched. */
const maxBackoff = 6;

/** Stands for election when no leader is heard of, and answers candidates. */
export class Election {
  private cancelTimer?: () => void;
  private campaigns = 0;
  /**
   * Campaigns since a leader was heard of; they stretch the times. Where writes or messages take about
   * as long as the times differ, replicas stand in each other's way for ever.
   */
  private failures = 0;

  constructor(
    private readonly state: ReplicaState,
    private readonly onElected: () => void,
  ) {}

  /** Starts the first time after which the replica stands for election. */
  startTimer(): void {
    const {firstElectionTimeoutMilliseconds, electionTimeoutMilliseconds} =
      this.state.options;
    this.setTimer(
      firstElectionTimeoutMilliseconds ?? electionTimeoutMilliseconds,
    );
  }

  /** A leader was heard of; starts the time after which it counts as lost. */
  followLeader(): void {
    this.failures = 0;
    this.resetTimer();
  }

  private resetTimer(): void {
    this.setTimer(
      this.state.options.electionTimeoutMilliseconds * this.backoff,
    );
  }

  private setTimer(timeoutMilliseconds: number): void {
    this.stop();
    if (this.state.isStopped) return;
    const {clock, random} = this.state.options;
    const delay = timeoutMilliseconds * (1 + random());
    this.cancelTimer = clock.setTimer(delay, () => this.onTimeout());
  }

  /** Cancels the time. */
  stop(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  /**
   * Stands for election. Only a voter of the newest members it knows does.
   *
   * @param isTransfer Whether the leader ordered it, which skips the pre-vote.
   */
  async campaign(isTransfer: boolean): Promise<void> {
    const {state} = this;
    if (state.isStopped || state.leadership !== undefined) return;
    if (!state.isVoter) return;
    const campaign = ++this.campaigns;
    const {term} = state;
    state.role = 'candidate';
    state.leader = undefined;
    if (!isTransfer) {
      const ballot = {term: term + 1, preVote: true, transfer: false};
      const isWon = await this.poll(ballot);
      if (!isWon || !this.isCurrent(campaign, term)) return;
    }
    await this.voteForSelf();
    if (!this.isCurrent(campaign, term + 1)) return;
    const isWon = await this.poll({
      term: term + 1,
      preVote: false,
      transfer: isTransfer,
    });
    if (isWon && this.isCurrent(campaign, term + 1)) this.onElected();
  }

  /** Answers a candidate; a granted vote is durable before the answer. */
  async receive(request: VoteRequest): Promise<VoteReply> {
    return request.preVote
      ? this.receivePreVote(request)
      : this.receiveVote(request);
  }

  private receivePreVote(request: VoteRequest): VoteReply {
    const {state} = this;
    const granted =
      request.term > state.term &&
      !state.hasFreshLeader &&
      state.isUpToDate(request.lastIndex, request.lastTerm);
    return {kind: 'vote', term: state.term, granted};
  }

  private async receiveVote(request: VoteRequest): Promise<VoteReply> {
    const {state} = this;
    const refusal: VoteReply = {kind: 'vote', term: state.term, granted: false};
    if (request.term < state.term) return refusal;
    if (!request.transfer && state.hasFreshLeader) return refusal;
    const followed =
      request.term > state.term
        ? state.follow(request.term)
        : Promise.resolve();
    const granted =
      (state.votedFor ?? request.from) === request.from &&
      state.isUpToDate(request.lastIndex, request.lastTerm);
    if (granted) {
      state.votedFor = request.from;
      this.resetTimer();
    }
    await (granted ? state.saveHardState() : followed);
    return {kind: 'vote', term: request.term, granted};
  }

  private onTimeout(): void {
    this.failures++;
    this.resetTimer();
    void this.campaign(false).catch(() => undefined);
  }

  private get backoff(): number {
    // The first collision of two candidates needs no longer times.
    const exponent = Math.max(0, this.failures - 1);
    return Math.min(maxBackoff, backoffFactor ** exponent);
  }

  private isCurrent(campaign: number, term: number): boolean {
    const {state} = this;
    return (
      campaign === this.campaigns &&
      term === state.term &&
      state.role === 'candidate' &&
      !state.isStopped
    );
  }

  private async voteForSelf(): Promise<void> {
    const {state} = this;
    state.term++;
    state.votedFor = state.id;
    await state.saveHardState();
  }

  /** Resolves with true once a majority grants, with false once none can. */
  private poll(ballot: Ballot): Promise<boolean> {
    const {state} = this;
    const others = state.voters.filter(voter => voter.id !== state.id);
    const needed = majorityOf(state.voters.length);
    let granted = 1;
    let open = others.length;
    return new Promise(resolve => {
      if (granted >= needed) resolve(true);
      for (const voter of others) {
        void this.ask(voter, ballot).then(isGranted => {
          open--;
          if (isGranted) granted++;
          if (granted >= needed) resolve(true);
          else if (granted + open < needed) resolve(false);
        });
      }
    });
  }

  /** Asks one voter; no answer counts as a refusal. */
  private async ask(voter: Member, ballot: Ballot): Promise<boolean> {
    const {state} = this;
    const {transport, messageTimeoutMilliseconds, clock} = state.options;
    const {lastIndex, lastTerm} = state.log;
    const sent = transport.send(voter, {
      kind: 'vote',
      from: state.id,
      to: voter.id,
      lastIndex,
      lastTerm,
      ...ballot,
    });
    try {
      const limit = messageTimeoutMilliseconds * this.backoff;
      const reply = await withTimeout(sent, limit, clock);
      if (reply.kind !== 'vote') return false;
      if (reply.term > state.term) void state.follow(reply.term);
      return reply.granted;
    } catch {
      return false;
    }
  }
}
