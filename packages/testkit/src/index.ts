/**
 * @fileoverview Stand-in backend servers, a relay, and a launcher of whole
 * clusters on loopback, for scenarios, measurements and the example.
 */
export {
  call,
  type CallerAnswer,
  type CallerCall,
  type CallerError,
  chat,
  type ChatCall,
} from './callers.js';
export {
  Cluster,
  type ClusterOptions,
  type DaemonInstance,
  defaultClusterOptions,
  type StandInProcess,
} from './launcher/cluster.js';
export {ctl} from './launcher/ctl.js';
export {DeafListener} from './standIn/deafListener.js';
export {freePort, isFree} from './launcher/freePort.js';
export {
  ManagedProcess,
  type ProcessExit,
  type ProcessOptions,
} from './launcher/managedProcess.js';
export {healthyLink, type LinkState, Relay} from './relay.js';
export {Load} from './scenario/load.js';
export {promptOf, Scenario, type ScenarioChat} from './scenario/scenario.js';
export {testContract, testKeyOf, testPrices} from './scenario/testContract.js';
export {answerTokens, promptTokens} from './standIn/answerText.js';
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
export {eventually} from './util/eventually.js';
export {seededRandom} from './util/seededRandom.js';
