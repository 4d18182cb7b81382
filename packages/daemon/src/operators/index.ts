/** @fileoverview The operator HTTP API. */
export {
  createOperatorRoutes,
  type OperatorRoutesOptions,
} from './operatorRoutes.js';
