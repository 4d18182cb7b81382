/**
 * @fileoverview Types and validators of settings, contracts and messages.
 */
export {locateFindings, readDocument} from './document.js';
export {messageNames, type MessageTypes} from './generated/messages.js';
export * from './generated/types.js';
export {
  describeFinding,
  type MessageName,
  parserOf,
  validate,
  type Validation,
} from './validate.js';
