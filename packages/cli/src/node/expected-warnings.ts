/**
 * Suppresses two Node.js warnings that users cannot act on: that the embedded program can only
 * require built-in modules, and that `process.binding`, which a dependency still uses, is deprecated.
 * This module is imported for its side effect and must be the first import.
 */
const DEPRECATED_BINDING = 'DEP0111';
const EMBEDDED_REQUIRE = 'Currently the require() provided to the main script embedded into';

function isExpected(warning: Error): boolean {
  const isBinding = 'code' in warning && warning.code === DEPRECATED_BINDING;
  return isBinding || warning.message.startsWith(EMBEDDED_REQUIRE);
}

const defaultListeners = process.listeners('warning');
process.removeAllListeners('warning');
process.on('warning', (warning) => {
  if (isExpected(warning)) return;
  for (const listener of defaultListeners) listener.call(process, warning);
});
