/** @fileoverview Public API of the package; see its README. */
export {
  type ConsensusMessage,
  type ConsensusReply,
  type Entry,
  type Member,
} from '@dogwoodtrestle/schema';

export {type Clock, systemClock} from './clock.js';
export {
  ConsensusError,
  CorruptFile,
  BootstrapError,
  IdentityMismatch,
  MembershipChangeRejected,
  NotLeader,
  OutcomeUnknown,
  ProtocolViolation,
  Stopped,
  TransferFailed,
} from './errors.js';
export {
  defaultFileStorageOptions,
  FileStorage,
  type FileStorageOptions,
} from './fileStorage/fileStorage.js';
export {
  bootstrapCluster,
  type BootstrapOptions,
  type BootstrapOutcome,
} from './bootstrap.js';
export {
  decideRepair,
  defaultRepairOptions,
  type RepairCandidate,
  type RepairInput,
  type RepairOptions,
  type NoRepairReason,
  type RepairStep,
} from './repair.js';
export {
  type PeerStatus,
  bootstrapTerm,
  Replica,
  type ReplicaInput,
  type ReplicaStatus,
} from './replica.js';
export {
  defaultOptions,
  type ReplicaOptions,
  type ReplicaTuning,
} from './replicaOptions.js';
export {type Role} from './replicaState.js';
export {type StateMachine} from './stateMachine.js';
export {
  type HardState,
  type HistoryGap,
  type Storage,
  type StoredSnapshot,
  type StoredState,
} from './storage.js';
export {type Transport} from './transport.js';
