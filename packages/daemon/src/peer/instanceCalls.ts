/**
 * @fileoverview Calls of the peer API with a timeout for each procedure.
 */
import {
  type AnswerRequest,
  type BillsReply,
  type BillsRequest,
  type ChangesReply,
  type ChangesRequest,
  type ConsensusMessage,
  type ConsensusReply,
  type ExplainRequest,
  type ExplanationView,
  type FarewellRequest,
  type FoundRequest,
  type GossipReply,
  type GossipRequest,
  type IdentityRequest,
  type KeptAnswer,
  type JournalAppendRequest,
  type JournalRemoveRequest,
  type PeerIdentity,
  type QueryReply,
  type QueryRequest,
  type RecallReply,
  type RecallRequest,
  type ReplicaView,
  type RunningReply,
  type RunningRequest,
  type SubmitReply,
  type SubmitRequest,
} from '@dogwoodtrestle/schema';

import {type LedgerCalls} from '../ledgerClient/ledgerClient.js';
import {type ReplicaCalls} from './peerApi.js';
import {type PeerClient} from './peerClient.js';
import {PeerRejectedError, PeerUnreachableError} from './peerErrors.js';
import {type Clock} from '@dogwoodtrestle/runtime';
import {withTimeout} from '../util/withTimeout.js';

/** Timeouts of calls in milliseconds. */
const timeouts = {
  consensus: 500,
  gossip: 1000,
  changes: 1000,
  identity: 1000,
  view: 1000,
  bills: 10_000,
  request: 1000,
  recall: 500,
  journal: 1000,
};

/** Dependencies of the calls. */
export interface InstanceCallsOptions {
  client: PeerClient;
  /** Peer address of this instance; calls for its replica skip the network. */
  ownAddress: string;
  /** Returns the local replica, or undefined until it is open. */
  replica: () => ReplicaCalls | undefined;
  clock: Clock;
}

/**
 * Calls to instances by their peer addresses. They reject with the errors of
 * `PeerClient.call`, or with `TimeoutError` for a call to the local replica.
 */
export class InstanceCalls implements LedgerCalls {
  constructor(private readonly options: InstanceCallsOptions) {}

  submit(
    address: string,
    request: SubmitRequest,
    timeout: number,
  ): Promise<SubmitReply> {
    return this.dispatch(
      address,
      timeout,
      replica => replica.submit(request),
      () =>
        this.options.client.call(address, timeout, (calls, options) =>
          calls.submit.mutate(request, options),
        ),
    );
  }

  query(
    address: string,
    request: QueryRequest,
    timeout: number,
  ): Promise<QueryReply> {
    return this.dispatch(
      address,
      timeout,
      replica => replica.query(request),
      () =>
        this.options.client.call(address, timeout, (calls, options) =>
          calls.query.mutate(request, options),
        ),
    );
  }

  changes(address: string, request: ChangesRequest): Promise<ChangesReply> {
    const timeout = timeouts.changes;
    return this.dispatch(
      address,
      timeout,
      replica => replica.changes(request),
      () =>
        this.options.client.call(address, timeout, (calls, options) =>
          calls.changes.mutate(request, options),
        ),
    );
  }

  /** Delivers a consensus message. */
  receive(address: string, message: ConsensusMessage): Promise<ConsensusReply> {
    const {client} = this.options;
    return client.call(address, timeouts.consensus, (calls, options) =>
      calls.receive.mutate(message, options),
    );
  }

  identity(address: string, request: IdentityRequest): Promise<PeerIdentity> {
    const {client} = this.options;
    return client.call(address, timeouts.identity, (calls, options) =>
      calls.identity.mutate(request, options),
    );
  }

  /** Bootstraps the replica of an instance with the given members. */
  async bootstrap(address: string, request: FoundRequest): Promise<void> {
    const {client} = this.options;
    await client.call(address, timeouts.identity, (calls, options) =>
      calls.found.mutate(request, options),
    );
  }

  gossip(address: string, request: GossipRequest): Promise<GossipReply> {
    const {client} = this.options;
    return client.call(address, timeouts.gossip, (calls, options) =>
      calls.gossip.mutate(request, options),
    );
  }

  async farewell(address: string, request: FarewellRequest): Promise<void> {
    const {client} = this.options;
    await client.call(address, timeouts.gossip, (calls, options) =>
      calls.farewell.mutate(request, options),
    );
  }

  explain(address: string, request: ExplainRequest): Promise<ExplanationView> {
    const {client} = this.options;
    return client.call(address, timeouts.request, (calls, options) =>
      calls.explain.mutate(request, options),
    );
  }

  keptAnswer(address: string, request: AnswerRequest): Promise<KeptAnswer> {
    const {client} = this.options;
    return client.call(address, timeouts.request, (calls, options) =>
      calls.keptAnswer.mutate(request, options),
    );
  }

  archivedBills(address: string, request: BillsRequest): Promise<BillsReply> {
    const {client} = this.options;
    return client.call(address, timeouts.bills, (calls, options) =>
      calls.archivedBills.mutate(request, options),
    );
  }

  view(address: string): Promise<ReplicaView> {
    const timeout = timeouts.view;
    return this.dispatch(
      address,
      timeout,
      async replica => replica.view(),
      () =>
        this.options.client.call(address, timeout, (calls, options) =>
          calls.view.mutate(undefined, options),
        ),
    );
  }

  /** Asks a holder to return its unused grants. */
  recall(address: string, request: RecallRequest): Promise<RecallReply> {
    const {client} = this.options;
    return client.call(address, timeouts.recall, (calls, options) =>
      calls.recall.mutate(request, options),
    );
  }

  running(address: string, request: RunningRequest): Promise<RunningReply> {
    const {client} = this.options;
    return client.call(address, timeouts.view, (calls, options) =>
      calls.running.mutate(request, options),
    );
  }

  async appendJournal(
    address: string,
    request: JournalAppendRequest,
  ): Promise<void> {
    const {client} = this.options;
    await client.call(address, timeouts.journal, (calls, options) =>
      calls.appendJournal.mutate(request, options),
    );
  }

  async removeJournal(
    address: string,
    request: JournalRemoveRequest,
  ): Promise<void> {
    const {client} = this.options;
    await client.call(address, timeouts.journal, (calls, options) =>
      calls.removeJournal.mutate(request, options),
    );
  }

  /** Calls the local replica if the address is this instance's own. */
  private dispatch<T>(
    address: string,
    timeoutMilliseconds: number,
    callLocally: (replica: ReplicaCalls) => Promise<T>,
    callRemotely: () => Promise<T>,
  ): Promise<T> {
    const {ownAddress, replica, clock} = this.options;
    const local = address === ownAddress ? replica() : undefined;
    if (local === undefined) return callRemotely();
    return withTimeout(callLocally(local), timeoutMilliseconds, clock);
  }
}

/** Whether a failed call may have reached the other instance. */
export function maybeReceived(error: unknown): boolean {
  if (error instanceof PeerRejectedError) return false;
  if (error instanceof PeerUnreachableError) return error.maybeReceived;
  return true;
}
