/**
 * @fileoverview Public API of the package: stand-in backend servers, a TCP
 * relay, crowds of clients, and a launcher of clusters on loopback, for scenarios, benchmarks and
 * the example.
 */
export {
  call,
  type CallerResponse,
  type CallOptions,
  type CallerError,
  chat,
  type ChatOptions,
} from './callers.js';
export {
  bodyBytesOf,
  chunksOf,
  type ClientBytes,
  Crowd,
  exchangeBytes,
  sendThenRead,
} from './crowd.js';
export {
  endlessBodies,
  endlessOverheads,
  type EndlessResponseBytes,
  EndlessServer,
  sendEndlessly,
} from './endlessServer.js';
export {
  Cluster,
  type ClusterOptions,
  type DaemonInstance,
  defaultClusterOptions,
  type StandInProcess,
} from './launcher/cluster.js';
export {ctl} from './launcher/ctl.js';
export {freeAddress, freePort, isFree} from './launcher/freePort.js';
export {
  ManagedProcess,
  type ProcessExit,
  type ProcessOptions,
} from './launcher/managedProcess.js';
export {healthyLink, type LinkState, Relay} from './relay.js';
export {LoadGenerator} from './scenario/loadGenerator.js';
export {
  promptForWords,
  Scenario,
  type ScenarioChat,
} from './scenario/scenario.js';
export {
  testContract,
  testPrices,
  testWorkspaceKey,
} from './scenario/testContract.js';
export {countPromptTokens, responseTokens} from './standIn/responseText.js';
export {ModelServer} from './standIn/modelServer.js';
export {
  type ControlMessage,
  defaultStandInOptions,
  type FailureMode,
  type ReceivedCall,
  type StandInOptions,
} from './standIn/options.js';
export {
  type Execution,
  readExecutions,
  ServiceServer,
} from './standIn/serviceServer.js';
export {UnresponsiveListener} from './standIn/unresponsiveListener.js';
export {eventually} from './util/eventually.js';
export {seededRandom} from './util/seededRandom.js';
