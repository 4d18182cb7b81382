/**
 * @fileoverview The tRPC API that instances provide to each other.
 *
 * All procedures are mutations, so that calls are POST requests whose whole
 * contents the signature covers.
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
  createParser,
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
import {initTRPC, TRPCError} from '@trpc/server';

/** Context of a call. */
export interface PeerContext {
  /** Name of the calling instance, as signed. */
  instance: string;
}

/** Calls that require a ledger replica. */
export interface ReplicaCalls {
  receive(message: ConsensusMessage): Promise<ConsensusReply>;
  bootstrap(request: FoundRequest): Promise<void>;
  submit(request: SubmitRequest): Promise<SubmitReply>;
  query(request: QueryRequest): Promise<QueryReply>;
  changes(request: ChangesRequest): Promise<ChangesReply>;
  archivedBills(request: BillsRequest): Promise<BillsReply>;
  /** Returns the view of the replica for the operator API. */
  view(): ReplicaView;
}

/** Calls that require a disk for journals. */
export interface JournalCalls {
  append(request: JournalAppendRequest): Promise<void>;
  remove(request: JournalRemoveRequest): Promise<void>;
}

/** Implementations of the procedures of an instance. */
export interface PeerHandlers {
  identity(request: IdentityRequest): Promise<PeerIdentity>;
  gossip(request: GossipRequest): GossipReply;
  receiveFarewell(request: FarewellRequest): void;
  /** Explains the decisions of this instance for a request. */
  explain(request: ExplainRequest): Promise<ExplanationView>;
  /** Returns the answer of a finished request if this instance keeps it. */
  keptAnswer(request: AnswerRequest): KeptAnswer;
  /** Returns unused grants of this instance. */
  recall: (request: RecallRequest) => Promise<RecallReply>;
  /** Returns which of the given requests this instance is still running. */
  running: (request: RunningRequest) => RunningReply;
  /** Undefined on an instance without a disk. */
  journals?: JournalCalls;
  /** Undefined on an instance without a ledger replica. */
  replica?: ReplicaCalls;
}

const trpc = initTRPC.context<PeerContext>().create();

/**
 * Creates the tRPC router of an instance.
 *
 * @param handlers Read at each call, so that its properties may be set after
 *     the router has been created.
 */
export function createPeerApi(handlers: PeerHandlers) {
  return trpc.router({
    identity: trpc.procedure
      .input(createParser('IdentityRequest'))
      .mutation(({input}) => handlers.identity(input)),
    receive: trpc.procedure
      .input(createParser('ConsensusMessage'))
      .mutation(({input}) => replicaOf(handlers).receive(input)),
    found: trpc.procedure
      .input(createParser('FoundRequest'))
      .mutation(({input}) => replicaOf(handlers).bootstrap(input)),
    submit: trpc.procedure
      .input(createParser('SubmitRequest'))
      .mutation(({input}) => replicaOf(handlers).submit(input)),
    query: trpc.procedure
      .input(createParser('QueryRequest'))
      .mutation(({input}) => replicaOf(handlers).query(input)),
    changes: trpc.procedure
      .input(createParser('ChangesRequest'))
      .mutation(({input}) => replicaOf(handlers).changes(input)),
    archivedBills: trpc.procedure
      .input(createParser('BillsRequest'))
      .mutation(({input}) => replicaOf(handlers).archivedBills(input)),
    view: trpc.procedure.mutation(() => replicaOf(handlers).view()),
    gossip: trpc.procedure
      .input(createParser('GossipRequest'))
      .mutation(({input}) => handlers.gossip(input)),
    farewell: trpc.procedure
      .input(createParser('FarewellRequest'))
      .mutation(({input}) => handlers.receiveFarewell(input)),
    explain: trpc.procedure
      .input(createParser('ExplainRequest'))
      .mutation(({input}) => handlers.explain(input)),
    keptAnswer: trpc.procedure
      .input(createParser('AnswerRequest'))
      .mutation(({input}) => handlers.keptAnswer(input)),
    recall: trpc.procedure
      .input(createParser('RecallRequest'))
      .mutation(({input}) => handlers.recall(input)),
    running: trpc.procedure
      .input(createParser('RunningRequest'))
      .mutation(({input}) => handlers.running(input)),
    appendJournal: trpc.procedure
      .input(createParser('JournalAppendRequest'))
      .mutation(({input}) => journalsOf(handlers).append(input)),
    removeJournal: trpc.procedure
      .input(createParser('JournalRemoveRequest'))
      .mutation(({input}) => journalsOf(handlers).remove(input)),
  });
}

/** Type of the API, for its clients. */
export type PeerApi = ReturnType<typeof createPeerApi>;

function journalsOf({journals}: PeerHandlers): JournalCalls {
  if (journals !== undefined) return journals;
  throw new TRPCError({
    code: 'PRECONDITION_FAILED',
    message: 'this instance has no disk for journals',
  });
}

function replicaOf(handlers: PeerHandlers): ReplicaCalls {
  if (handlers.replica === undefined) {
    throw new TRPCError({
      code: 'PRECONDITION_FAILED',
      message: 'this instance has no ledger replica',
    });
  }
  return handlers.replica;
}
