/** @fileoverview Benchmarks of the routing policy and of gossip. */
export {measureDecisions} from './decisionCost.js';
export {compareFaults} from './faultBench.js';
export {measureGossip} from './gossipCost.js';
export {
  compareOverload,
  compareOverloadAtPeak,
  findPeak,
  runOverload,
} from './overloadBench.js';
export {fullPolicy} from './policy.js';
export {comparePolicies} from './policyBench.js';
