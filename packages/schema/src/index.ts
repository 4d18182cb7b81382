/**
 * @fileoverview Public API of the package: types and validators of settings,
 * contracts and messages.
 */
export {
  checkedHandler,
  checkedMessage,
  MalformedMessage,
} from './checkedHandler.js';
export {locateFindings, readDocument} from './document.js';
export {
  type ApartMessageTypes,
  messageNames,
  type MessageTypes,
} from './generated/messages.js';
export * from './generated/types.js';
export {
  describeFinding,
  type MessageName,
  createParser,
  validate,
  type Validation,
} from './validate.js';
