/** @fileoverview Face of the package; see its README. */
export {EdgeNode} from './edgeNode.js';
export {
  defaultEdgeOptions,
  type EdgeInput,
  type EdgeOptions,
  type EdgeTuning,
} from './edgeOptions.js';
export {
  type AnswerHead,
  type CallerRequest,
  type ForwardInstructions,
  type Generation,
  type PromptPart,
  type WireCodec,
} from './wireCodec.js';
