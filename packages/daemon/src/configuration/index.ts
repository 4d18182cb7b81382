/** @fileoverview Active contracts of this instance. */
export {Configuration, type ConfigurationOptions} from './configuration.js';
export {type KeyOwner} from './contractCache.js';
