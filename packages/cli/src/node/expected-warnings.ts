/**
 * Hides two warnings of Node.js that no user can act on: that the embedded program can only require
 * built-in modules, and the deprecation of `process.binding` that a dependency still uses. Imported
 * for its effect before all else.
 */
const DEPRECATED_BINDING = 'DEP0111';
const EMBEDDED_REQUIRE = 'Currently the require() provided to the main script embedded into';

function isExpected(warning: Error): boolean {
  const isBinding = 'code' in warning && warning.code === DEPRECATED_BINDING;
  return isBinding || warning.message.startsWith(EMBEDDED_REQUIRE);
}

const printers = process.listeners('warning');
process.removeAllListeners('warning');
process.on('warning', (warning) => {
  if (isExpected(warning)) return;
  for (const print of printers) print.call(process, warning);
});
