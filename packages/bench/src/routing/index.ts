/** @fileoverview Measurements of the routing decisions. */
export {comparedPolicies, comparePolicies} from './policyBench.js';
