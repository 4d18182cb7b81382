/** @fileoverview Contracts in force at this instance. */
export {Configuration, type ConfigurationOptions} from './configuration.js';
export {type KeyOwner} from './contractCache.js';
