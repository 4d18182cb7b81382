/**
 * @fileoverview Leader election with pre-vote (sections 3.4 and 9.6 of the Raft
 * dissertation).
 */
import {
  type Member,
  type VoteReply,
  type VoteRequest,
} from '@dogwoodtrestle/schema';

import {type ReplicaState} from './replicaState.js';
import {majorityOf} from './util/quorum.js';
import {withTimeout} from './util/withTimeout.js';

type VoteParameters = Pick<VoteRequest, 'term' | 'preVote' | 'transfer'>;

/** Factor by which each failed campaign lengthens the timeouts of the next. */
const backoffFactor = 1.6;

/** Upper bound of the factor by which timeouts are lengthened. */
const maxBackoffMultiplier = 6;

/** Starts campaigns after election timeouts and answers vote requests. */
export class Election {
  private cancelTimer?: () => void;
  private campaignCount = 0;
  /**
   * Campaigns since the last contact with a leader; each one lengthens the
   * timeouts. If writes or messages take about as long as the difference
   * between the random timeouts of two candidates, they would otherwise split
   * the vote again and again.
   */
  private failedCampaigns = 0;

  constructor(
    private readonly state: ReplicaState,
    private readonly onElected: () => void,
  ) {}

  /** Starts the first election timeout. */
  startTimer(): void {
    const {firstElectionTimeoutMilliseconds, electionTimeoutMilliseconds} =
      this.state.options;
    this.setTimer(
      firstElectionTimeoutMilliseconds ?? electionTimeoutMilliseconds,
    );
  }

  /**
   * Resets the backoff and the election timeout after contact with a leader.
   */
  onLeaderContact(): void {
    this.failedCampaigns = 0;
    this.resetTimer();
  }

  private resetTimer(): void {
    this.setTimer(
      this.state.options.electionTimeoutMilliseconds * this.backoffMultiplier,
    );
  }

  private setTimer(timeoutMilliseconds: number): void {
    this.stop();
    if (this.state.isStopped) return;
    const {clock, random} = this.state.options;
    const delay = timeoutMilliseconds * (1 + random());
    this.cancelTimer = clock.setTimer(delay, () => this.onTimeout());
  }

  /** Cancels the election timeout. */
  stop(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  /**
   * Starts a campaign, unless this replica leads already or is not a voter of
   * the latest membership that it knows.
   *
   * @param isTransfer Whether the leader requested the election; if so, the
   *     pre-vote is skipped.
   */
  async campaign(isTransfer: boolean): Promise<void> {
    const {state} = this;
    if (state.isStopped || state.leadership !== undefined) return;
    if (!state.isVoter) return;
    const campaign = ++this.campaignCount;
    const {term} = state;
    state.role = 'candidate';
    state.leader = undefined;
    if (!isTransfer) {
      const parameters = {term: term + 1, preVote: true, transfer: false};
      const isWon = await this.collectVotes(parameters);
      if (!isWon || !this.isCurrent(campaign, term)) return;
    }
    await this.voteForSelf();
    if (!this.isCurrent(campaign, term + 1)) return;
    const isWon = await this.collectVotes({
      term: term + 1,
      preVote: false,
      transfer: isTransfer,
    });
    if (isWon && this.isCurrent(campaign, term + 1)) this.onElected();
  }

  /** Answers a vote request; a granted vote is durable before the reply. */
  async receive(request: VoteRequest): Promise<VoteReply> {
    return request.preVote
      ? this.receivePreVote(request)
      : this.receiveVote(request);
  }

  private receivePreVote(request: VoteRequest): VoteReply {
    const {state} = this;
    const granted =
      request.term > state.term &&
      !state.hasRecentLeaderContact &&
      state.isLogUpToDate(request.lastIndex, request.lastTerm);
    return {kind: 'vote', term: state.term, granted};
  }

  private async receiveVote(request: VoteRequest): Promise<VoteReply> {
    const {state} = this;
    const rejection: VoteReply = {
      kind: 'vote',
      term: state.term,
      granted: false,
    };
    if (request.term < state.term) return rejection;
    if (!request.transfer && state.hasRecentLeaderContact) return rejection;
    const termSaved =
      request.term > state.term
        ? state.becomeFollower(request.term)
        : Promise.resolve();
    const granted =
      (state.votedFor ?? request.from) === request.from &&
      state.isLogUpToDate(request.lastIndex, request.lastTerm);
    if (granted) {
      state.votedFor = request.from;
      this.resetTimer();
    }
    await (granted ? state.saveHardState() : termSaved);
    return {kind: 'vote', term: request.term, granted};
  }

  private onTimeout(): void {
    this.failedCampaigns++;
    this.resetTimer();
    void this.campaign(false).catch(() => undefined);
  }

  private get backoffMultiplier(): number {
    // A first split vote is resolved by the random timeouts alone.
    const exponent = Math.max(0, this.failedCampaigns - 1);
    return Math.min(maxBackoffMultiplier, backoffFactor ** exponent);
  }

  private isCurrent(campaign: number, term: number): boolean {
    const {state} = this;
    return (
      campaign === this.campaignCount &&
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

  /**
   * Resolves with true once a majority has granted its vote, and with false
   * once a majority is no longer possible.
   */
  private collectVotes(parameters: VoteParameters): Promise<boolean> {
    const {state} = this;
    const otherVoters = state.voters.filter(voter => voter.id !== state.id);
    const majority = majorityOf(state.voters.length);
    let grantedVotes = 1;
    let pendingReplies = otherVoters.length;
    return new Promise(resolve => {
      if (grantedVotes >= majority) resolve(true);
      for (const voter of otherVoters) {
        void this.requestVote(voter, parameters).then(isGranted => {
          pendingReplies--;
          if (isGranted) grantedVotes++;
          if (grantedVotes >= majority) resolve(true);
          else if (grantedVotes + pendingReplies < majority) resolve(false);
        });
      }
    });
  }

  /** Requests the vote of one voter; a missing reply counts as a rejection. */
  private async requestVote(
    voter: Member,
    parameters: VoteParameters,
  ): Promise<boolean> {
    const {state} = this;
    const {transport, messageTimeoutMilliseconds, clock} = state.options;
    const {lastIndex, lastTerm} = state.log;
    const replyPromise = transport.send(voter, {
      kind: 'vote',
      from: state.id,
      to: voter.id,
      lastIndex,
      lastTerm,
      ...parameters,
    });
    try {
      const timeoutMilliseconds =
        messageTimeoutMilliseconds * this.backoffMultiplier;
      const reply = await withTimeout(replyPromise, timeoutMilliseconds, clock);
      if (reply.kind !== 'vote') return false;
      if (reply.term > state.term) void state.becomeFollower(reply.term);
      return reply.granted;
    } catch {
      return false;
    }
  }
}
